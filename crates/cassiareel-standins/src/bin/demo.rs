//! Demo.
fn main() {}
