/*!
Which of a few engines gets a prompt, after each told its load just now.

On a large fleet a node sees too little of an engine's load on its own answers. Asking a few engines
before each prompt answers the load at which prompts meet by chance: with a quarter of the engines
reading a prompt, one in four would wait for another's, and of those that choose among three, one in
sixty. The engines are asked in the prompt's own order of preference, which decides between equals.
*/

/// Time that a prompt that is being read adds, in milliseconds.
const READING: f64 = 1000.0;

/// Time that a running generation adds, in milliseconds.
const GENERATING: f64 = 40.0;

/// What each place in the prompt's order of preference costs, in milliseconds.
const PLACE: f64 = 120.0;

/// What an engine costs that told nothing, in milliseconds.
const SILENT: f64 = 1500.0;

/// The load that an engine told.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Reported {
    /// Requests whose prompts are being read or wait for it.
    pub reading: u64,
    /// Requests for which it generates.
    pub generating: u64,
}

/// Chooses among engines in their order of preference; `None` stands for one that told nothing.
///
/// # Examples
///
/// ```
/// use cassiareel_relay::kernel::{choose_reported, Reported};
///
/// let idle = Reported::default();
/// let reading = Reported { reading: 1, generating: 0 };
/// assert_eq!(choose_reported(&[Some(reading), None, Some(idle)]), Some(2));
/// ```
pub fn choose_reported(engines: &[Option<Reported>]) -> Option<usize> {
    let cost = |place: usize| {
        let load = engines[place].map_or(SILENT, |told| {
            told.reading as f64 * READING + told.generating as f64 * GENERATING
        });
        load + place as f64 * PLACE
    };
    (0..engines.len()).min_by(|a, b| cost(*a).total_cmp(&cost(*b)))
}

/// Chooses the engine that keeps most of a prompt, of those that told how many of its tokens they
/// keep; `None` where none keeps any.
///
/// # Examples
///
/// ```
/// use cassiareel_relay::kernel::choose_holder;
///
/// assert_eq!(choose_holder(&[Some(0), None, Some(5000)]), Some(2));
/// assert_eq!(choose_holder(&[Some(0), None]), None);
/// ```
pub fn choose_holder(kept: &[Option<u64>]) -> Option<usize> {
    let tokens = |engine: &usize| kept[*engine].unwrap_or(0);
    let holders = (0..kept.len()).filter(|engine| tokens(engine) > 0);
    // Of equals, the one that is preferred.
    holders.rev().max_by_key(tokens)
}
