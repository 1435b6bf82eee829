/*!
Plug-ins that register themselves.

A policy submits itself with [`inventory::submit!`] next to its code, and settings choose it by
name. Nothing else lists the plug-ins, so that adding one is adding a file.
*/

/// A named constructor of a policy behind the trait object `T`.
///
/// `T` is the boxed trait, such as `Box<dyn Policy>`; each kind of policy collects its own type of
/// plug-in.
#[derive(Debug)]
pub struct Plugin<T> {
    /// The name that settings use.
    pub name: &'static str,
    /// Builds the policy with its defaults.
    pub build: fn() -> T,
}
