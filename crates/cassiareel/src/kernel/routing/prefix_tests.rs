//! The index counts leading blocks, and its memory is bounded.

use super::PrefixIndex;

#[test]
fn only_leading_blocks_count() {
    let index = PrefixIndex::new(256, 130);
    index.insert(0, &[1, 2, 3]);
    index.insert(129, &[2, 3]);
    index.insert(64, &[1, 3]);
    let mut depths = vec![9; 130];
    index.depths(&[1, 2, 3, 4], &mut depths);
    assert_eq!(
        (depths[0], depths[64], depths[129], depths[5]),
        (3, 1, 0, 0)
    );
    index.remove(0, 2);
    index.depths(&[1, 2, 3, 4], &mut depths);
    assert_eq!(depths[0], 1);
}

#[test]
fn replacing_affects_one_server() {
    let index = PrefixIndex::new(256, 4);
    index.insert(1, &[1, 2]);
    index.insert(2, &[1, 2]);
    index.replace(1, &[1, 9]);
    let mut depths = [0; 4];
    index.depths(&[1, 2], &mut depths);
    assert_eq!(depths, [0, 1, 2, 0]);
}

#[test]
fn memory_is_bounded_and_old_blocks_are_replaced_first() {
    let index = PrefixIndex::new(64, 2);
    let bytes = index.bytes();
    index.insert(0, &(1..=10_000).collect::<Vec<u64>>());
    let recent: Vec<u64> = (20_001..=20_008).collect();
    index.insert(0, &recent);
    assert_eq!(index.bytes(), bytes);
    let mut depths = [0; 2];
    index.depths(&recent, &mut depths);
    assert_eq!(depths[0], 8);
    let kept = (1..=10_000)
        .filter(|&block| {
            index.depths(&[block], &mut depths);
            depths[0] > 0
        })
        .count();
    assert!(kept <= 64, "{kept} blocks in an index of 64");
}

#[test]
fn a_slot_past_the_end_and_the_zero_hash_are_harmless() {
    let index = PrefixIndex::new(64, 2);
    index.insert(2, &[5]);
    index.insert(1, &[0]);
    let mut depths = [0; 2];
    index.depths(&[5], &mut depths);
    assert_eq!(depths, [0, 0]);
    index.depths(&[0], &mut depths);
    assert_eq!(depths, [0, 1]);
}
