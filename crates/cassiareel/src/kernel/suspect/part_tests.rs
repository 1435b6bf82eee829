//! What nodes learn of parts from each other, and how a part that was held is tried again.

use std::{sync::Arc, time::Duration};

use test_case::test_case;

use super::{super::ticket::ShortDigest, Loss, PartKey, ReportedLoss, Suspects, Time, Verdict};

const SECOND: Duration = Duration::from_secs(1);
const SHARED: PartKey = 1;
const DEADLY: PartKey = 2;

fn loss(number: u64, at: Time, parts: &[PartKey]) -> Loss {
    let mut content = [0; 16];
    content[..8].copy_from_slice(&number.to_le_bytes());
    Loss {
        content,
        attempt: number,
        process: number,
        at,
        early: true,
        parts: parts.into(),
    }
}

fn is_held(node: &Suspects, part: PartKey, is_probing_node: bool, now: Time) -> bool {
    node.part_verdict(&[part], is_probing_node, now) != Verdict::Allowed
}

/// A node on which three servers crashed two seconds apart, the last one at 5 s.
fn after_crashes() -> Suspects {
    let mut node = Suspects::default();
    node.record_part_survival(&[SHARED], SECOND);
    for number in 0..3 {
        let at = SECOND + 2 * SECOND * number;
        node.record_loss(loss(number.into(), at, &[SHARED, DEADLY]));
    }
    node
}

#[test]
fn the_part_is_held_and_not_the_shared_one_nor_a_new_content() {
    let node = after_crashes();
    assert!(is_held(&node, DEADLY, false, 6 * SECOND));
    assert!(!is_held(&node, SHARED, false, 6 * SECOND));
    assert!(!is_held(&node, 99, false, 6 * SECOND));
    let verdict = node.part_verdict(&[SHARED, DEADLY], false, 6 * SECOND);
    let remaining = Duration::from_secs(600 + 60 - 1);
    assert_eq!(
        verdict,
        Verdict::Held {
            crashes: 3,
            remaining
        }
    );
}

#[test]
fn one_content_alone_does_not_hold_its_parts() {
    let mut node = Suspects::default();
    for process in 0..5 {
        let loss = loss(7, SECOND * process as u32, &[SHARED, DEADLY]);
        node.record_loss(Loss { process, ..loss });
    }
    assert!(!is_held(&node, DEADLY, false, 6 * SECOND));
    assert!(!is_held(&node, SHARED, false, 6 * SECOND));
}

/// A node that has seen no survived run must not hold a part that others know to be harmless.
#[test]
fn a_cleared_part_is_cleared_on_nodes_that_have_seen_nothing() {
    let mut seeing = Suspects::default();
    for number in 0..5 {
        let at = SECOND + 2 * SECOND * number;
        seeing.record_loss(loss(number.into(), at, &[SHARED]));
    }
    let now = 10 * SECOND;
    let mut other = Suspects::default();
    let (reports, known) = seeing.losses_since(0, now);
    other.merge(&reports, now);
    assert!(is_held(&other, SHARED, false, now));
    assert!(seeing.record_part_survival(&[SHARED], now));
    assert!(!is_held(&seeing, SHARED, false, now));
    // The losses are reported again, and are passed on by a node for which they are not new.
    let (reports, _) = seeing.losses_since(known, now);
    assert_eq!(other.merge(&reports, now).len(), 5);
    assert!(!is_held(&other, SHARED, false, now));
    assert_eq!(other.merge(&reports, now), []);
    // An older report does not bring the part back.
    let stale = after_crashes().losses_since(0, now).0;
    other.merge(&stale, now);
    assert!(!is_held(&other, SHARED, false, now));
}

/// When a part that was held may be sent again.
struct Return {
    after_last_crash: u64,
    is_probing_node: bool,
    is_held: bool,
}

#[test_case(&Return { after_last_crash: 599, is_probing_node: true, is_held: true }; "the probing node waits")]
#[test_case(&Return { after_last_crash: 600, is_probing_node: true, is_held: false }; "the probing node tries it first")]
#[test_case(&Return { after_last_crash: 659, is_probing_node: false, is_held: true }; "other nodes wait longer")]
#[test_case(&Return { after_last_crash: 660, is_probing_node: false, is_held: false }; "other nodes try it next")]
fn a_held_part_is_tried_again(case: &Return) {
    let mut node = after_crashes();
    node.record_survival([9; 16], 5 * SECOND);
    let now = Duration::from_secs(5 + case.after_last_crash);
    let is_held = is_held(&node, DEADLY, case.is_probing_node, now);
    assert_eq!(is_held, case.is_held);
}

#[test]
fn a_part_that_was_held_is_held_again_after_one_more_crash() {
    let mut node = after_crashes();
    node.record_survival([9; 16], 5 * SECOND);
    let now = Duration::from_secs(5 + 600);
    assert!(!is_held(&node, DEADLY, true, now));
    node.record_part_send(&[SHARED, DEADLY], now);
    assert!(
        is_held(&node, DEADLY, true, now + SECOND),
        "one trial at a time"
    );
    node.record_loss(loss(9, now + SECOND, &[SHARED, DEADLY]));
    assert!(is_held(&node, DEADLY, true, now + Duration::from_secs(599)));
}

#[test]
fn a_survived_trial_ends_the_hold_on_all_nodes() {
    let mut node = after_crashes();
    let mut other = Suspects::default();
    let (reports, known) = node.losses_since(0, 5 * SECOND);
    other.merge(&reports, 5 * SECOND);
    let now = Duration::from_secs(605);
    node.record_part_send(&[DEADLY], now);
    node.record_part_survival(&[DEADLY], now + 2 * SECOND);
    other.merge(
        &node.losses_since(known, now + 2 * SECOND).0,
        now + 2 * SECOND,
    );
    for node in [&node, &other] {
        assert!(!is_held(node, DEADLY, false, now + 2 * SECOND));
    }
}

/// A part held while no server survives anything may be harmless, and nobody would find out.
#[test]
fn the_probing_node_soon_tries_a_part_if_no_server_survived_anything_since() {
    let reports = after_crashes().losses_since(0, 5 * SECOND).0;
    let mut node = Suspects::default();
    node.merge(&reports, 5 * SECOND);
    let now = Duration::from_secs(10);
    assert!(!is_held(&node, DEADLY, true, now));
    assert!(is_held(&node, DEADLY, false, now));
    node.record_survival([9; 16], now);
    assert!(is_held(&node, DEADLY, true, now));
}

/// A loss without parts as earlier builds encode it.
#[derive(serde::Deserialize, serde::Serialize)]
struct EarlierReport(serde_bytes_digest::Digest, u64, u64, u64);

mod serde_bytes_digest {
    use serde_with::{serde_as, Bytes};

    use super::ShortDigest;

    #[serde_as]
    #[derive(serde::Deserialize, serde::Serialize)]
    #[serde(transparent)]
    pub(super) struct Digest(#[serde_as(as = "Bytes")] pub(super) ShortDigest);
}

#[test]
fn reports_without_parts_are_encoded_as_by_earlier_builds() {
    let mut node = Suspects::default();
    node.record_loss(loss(7, SECOND, &[]));
    let (reports, _) = node.losses_since(0, 2 * SECOND);
    let bytes = rmp_serde::to_vec(&reports).expect("reports can be encoded");
    let earlier: Vec<EarlierReport> =
        rmp_serde::from_slice(&bytes).expect("earlier builds read it");
    assert_eq!((earlier[0].1, earlier[0].2, earlier[0].3), (7, 7, 1000));
    let bytes = rmp_serde::to_vec(&earlier).expect("reports can be encoded");
    let read: Vec<ReportedLoss> = rmp_serde::from_slice(&bytes).expect("this build reads it");
    assert_eq!(read, reports);
    node.record_loss(loss(8, SECOND, &[SHARED, DEADLY]));
    let (reports, _) = node.losses_since(0, 2 * SECOND);
    let bytes = rmp_serde::to_vec(&reports).expect("reports can be encoded");
    let read: Vec<ReportedLoss> = rmp_serde::from_slice(&bytes).expect("this build reads it");
    assert_eq!(read, reports);
}

#[test]
fn a_loss_names_a_bounded_number_of_parts() {
    let mut node = Suspects::default();
    let parts: Arc<[PartKey]> = (0..1000).collect();
    node.record_loss(loss(1, SECOND, &parts));
    assert_eq!(node.losses_since(0, SECOND).0[0].parts.len(), 16);
}
