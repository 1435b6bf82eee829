//! The compact encoding of backend servers.

use std::sync::Arc;

use test_case::test_case;

use super::{
    list_digest::list_digest,
    packed_entries::{PackedEntries, UnpackError},
};
use crate::model::{Entry, Phase};

fn entry(id: &str, i: u32) -> Entry {
    Entry {
        id: Arc::from(id),
        start_time: Some(1_765_000_000_000 + u64::from(i) * 977),
        service: Arc::from(["huka270", "puhu251", "huvo11a"][i as usize % 3]),
        address: ([10, (i >> 16) as u8, (i >> 8) as u8, i as u8], 8000).into(),
        data_centre: Arc::from(["zg-a", "zg-b", "zg-c"][i as usize % 3]),
        version: Arc::from("v1.8.0"),
        slots: 12,
        phase: if i % 7 == 0 {
            Phase::Draining
        } else {
            Phase::Ready
        },
    }
}

/// A list that is decoded differently would be used until the next whole list.
#[test]
fn entries_are_decoded_as_they_were() {
    let long = "x".repeat(300);
    let ids = [
        "",
        "a",
        "ab",
        "ac",
        "ä1",
        "ä2",
        "š",
        &long,
        &format!("{long}y"),
    ];
    let mut entries: Vec<Entry> = (0..).zip(ids).map(|(i, id)| entry(id, i)).collect();
    entries[2].start_time = None;
    entries[3].start_time = Some(0);
    entries[4].start_time = Some(u64::MAX);
    entries[5].address = ([0xfd, 0, 0, 0, 0, 0, 0, 1], 1).into();
    let packed = rmp_serde::to_vec(&PackedEntries::pack(&entries)).expect("it can be encoded");
    let packed: PackedEntries = rmp_serde::from_slice(&packed).expect("it can be decoded");
    let mut made = packed.unpack().expect("the columns fit");
    entries.sort_by(|one, other| one.id.cmp(&other.id));
    made.sort_by(|one, other| one.id.cmp(&other.id));
    assert_eq!(made, entries);
    assert_eq!(list_digest(&made), list_digest(&entries));
}

/// A list of 3,000 entries has to fit a link of 10 Mbit/s many times a second.
#[test]
fn an_entry_takes_about_thirty_bytes() {
    let entries: Vec<Entry> = (0..3000).map(|i| entry(&format!("r-{i:06x}"), i)).collect();
    let packed = rmp_serde::to_vec(&PackedEntries::pack(&entries)).expect("it can be encoded");
    assert!(packed.len() < 30 * entries.len(), "{}", packed.len());
}

/// Bytes of another build, or a message that was cut: an error, and no list that lacks entries.
#[test_case(b"\x99\x90\x90\xc4\x00\x91\xa1a\x90\xc4\x00\x90\x00\x90", UnpackError::Length; "an id without the other columns")]
#[test_case(b"\x99\x90\x90\xc4\x01\x05\x91\xa1a\x91\x00\xc4\x06\0\0\0\0\0\0\x90\x00\x91\xc0", UnpackError::Prefix; "a prefix of nothing")]
#[test_case(b"\x99\x90\x90\xc4\x01\x00\x91\xa1a\x91\x07\xc4\x06\0\0\0\0\0\0\x90\x00\x91\xc0", UnpackError::Reference; "an unknown kind")]
#[test_case(b"\x99\x90\x91\x95\x00\x00\x00\x01\xc2\xc4\x01\x00\x91\xa1a\x91\x00\xc4\x06\0\0\0\0\0\0\x90\x00\x91\xc0", UnpackError::Reference; "an unknown name")]
fn odd_columns_are_refused(bytes: &[u8], expected: UnpackError) {
    let packed: PackedEntries = rmp_serde::from_slice(bytes).expect("it can be decoded");
    assert_eq!(packed.unpack().err(), Some(expected));
}

#[test]
fn a_list_that_was_cut_is_not_decoded() {
    let entries: Vec<Entry> = (0..9).map(|i| entry(&format!("r-{i}"), i)).collect();
    let packed = rmp_serde::to_vec(&PackedEntries::pack(&entries)).expect("it can be encoded");
    for length in 0..packed.len() {
        assert!(
            rmp_serde::from_slice::<PackedEntries>(&packed[..length]).is_err(),
            "{length}"
        );
    }
}
