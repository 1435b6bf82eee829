//! Draws of the requests that make up a share of all.

/// Draws a share of requests: of each group of requests that adds up to one, a random one.
///
/// Independent draws would exceed a small share now and then by a fifth over hundreds of requests. A
/// fixed interval would pick the same requests each time where callers' requests have a period.
///
/// # Examples
///
/// ```
/// use cassiareel_relay::kernel::ShareDraw;
///
/// let mut draw = ShareDraw::new(0.4);
/// let drawn = (0..1000).filter(|_| draw.draw(0.05, 0.7)).count();
/// assert!((49..=51).contains(&drawn));
/// ```
#[derive(Clone, Copy, Debug)]
pub struct ShareDraw {
    /// The sum of the shares of the requests so far.
    sum: f64,
    /// The sum at which the next request is drawn.
    next: f64,
}

impl ShareDraw {
    /// Creates the state before the first request; `random` is a random number below 1.
    pub fn new(random: f64) -> ShareDraw {
        ShareDraw {
            sum: 0.0,
            next: random,
        }
    }

    /// Reports whether a request is one of the share. `random` is a random number below 1.
    pub fn draw(&mut self, share: f64, random: f64) -> bool {
        self.sum += share;
        let is_drawn = self.sum > self.next;
        if is_drawn {
            self.next = self.next.floor() + 1.0 + random;
        }
        is_drawn
    }
}
