//! The digest by which a node checks that its list of backend servers is the one that a peer has.

use xxhash_rust::xxh3::xxh3_64;

use crate::model::{Entry, Phase};

/// Returns the digest of a list, which does not depend on the order of its entries.
pub(super) fn list_digest(entries: &[Entry]) -> u64 {
    let mut text = Vec::new();
    let digests = entries.iter().map(|entry| {
        text.clear();
        write_entry(&mut text, entry);
        xxh3_64(&text)
    });
    digests.fold(0, u64::wrapping_add)
}

fn write_entry(text: &mut Vec<u8>, entry: &Entry) {
    let names = [
        &entry.id,
        &entry.service,
        &entry.data_centre,
        &entry.version,
    ];
    for name in names {
        text.extend((name.len() as u64).to_le_bytes());
        text.extend(name.as_bytes());
    }
    match entry.address.ip() {
        std::net::IpAddr::V4(ip) => text.extend(ip.octets()),
        std::net::IpAddr::V6(ip) => text.extend(ip.octets()),
    }
    text.extend(entry.address.port().to_le_bytes());
    text.extend(
        entry
            .start_time
            .map_or(0, |at| at.wrapping_add(1))
            .to_le_bytes(),
    );
    text.extend(entry.slots.to_le_bytes());
    text.push(u8::from(entry.phase == Phase::Draining));
}
