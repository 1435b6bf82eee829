//! Tests of the VM list stand-in through cassiareel's adapter.

use std::time::Duration;

use cassiareel::store::{HttpVms, Vm, VmList, VmState};
use cassiareel_standins::vms::VmApi;

fn vm(name: &str, state: VmState) -> Vm {
    Vm {
        name: name.to_owned(),
        addr: [10, 0, 0, 1].into(),
        data_centre: "hr-zagreb-a".into(),
        state,
    }
}

#[test]
fn live_and_leaving_vms_are_listed() {
    let api = VmApi::start(Duration::ZERO).unwrap();
    let vms = vec![vm("a", VmState::Live), vm("b", VmState::Leaving)];
    api.set_vms(vms.clone());
    let list = smol::block_on(HttpVms::new(api.addr()).list());
    assert_eq!(list, Ok(vms));
}

#[test]
fn a_change_is_not_listed_before_the_lag_has_passed() {
    let api = VmApi::start(Duration::from_secs(3600)).unwrap();
    api.set_vms(vec![vm("a", VmState::Live)]);
    let list = smol::block_on(HttpVms::new(api.addr()).list());
    assert_eq!(list, Ok(Vec::new()));
}
