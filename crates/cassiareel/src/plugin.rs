/*!
Plug-ins that register themselves.

A policy is registered with [`inventory::submit!`] next to its code, and settings choose it by name.
There is no other list of plug-ins, so a new one is added as one file.
*/

/// A named constructor of a policy behind the trait object `T`.
///
/// `T` is the boxed trait, such as `Box<dyn Policy>`; each kind of policy has its own type of plug-in.
#[derive(Debug)]
pub struct Plugin<T> {
    /// The name that settings use.
    pub name: &'static str,
    /// Builds the policy with default parameters.
    pub build: fn() -> T,
}
