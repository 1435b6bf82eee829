//! Numbers that rise through all eras of the store.

use crate::store::StoreEra;

/// The numbers of one era: many times what is given between two restores, and easy to read.
const NUMBERS_PER_ERA: u64 = 1_000_000;

/// Returns the number after `last`, the highest one that the store has.
///
/// A restored store has lost the numbers that were given last. The first number of an era is above
/// all of the eras before, so that no number is given twice, as long as an era gives fewer than a
/// million.
///
/// # Examples
///
/// ```
/// use cassiareel::kernel::next_number;
///
/// assert_eq!(next_number(7, 0), 8);
/// assert_eq!(next_number(5, 1), 1_000_001);
/// assert_eq!(next_number(1_000_001, 1), 1_000_002);
/// ```
pub fn next_number(last: u64, era: StoreEra) -> u64 {
    let first = era.saturating_mul(NUMBERS_PER_ERA).saturating_add(1);
    last.saturating_add(1).max(first)
}

/// Returns the era in which a number was given.
///
/// # Examples
///
/// ```
/// use cassiareel::kernel::{next_number, number_era};
///
/// assert_eq!(number_era(3), 0);
/// assert_eq!(number_era(next_number(3, 2)), 2);
/// ```
pub fn number_era(number: u64) -> StoreEra {
    number.saturating_sub(1) / NUMBERS_PER_ERA
}
