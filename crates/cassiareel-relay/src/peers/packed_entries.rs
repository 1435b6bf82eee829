/*!
The compact encoding of backend servers in messages between nodes.

Encoded one by one, 3,000 entries take about 200 KB, since most of each entry repeats what others
have too. Here entries are columns, ordered by id: ids without the part that they share with the one
before, addresses as bytes, start times relative to the earliest one, and everything else as a
reference into a table of the combinations that occur.
*/

use std::{
    collections::HashMap,
    net::{Ipv4Addr, SocketAddr, SocketAddrV4},
    sync::Arc,
};

use serde::{Deserialize, Serialize};
use serde_with::{serde_as, Bytes};
use snafu::{OptionExt, Snafu};

use crate::model::{DataCentre, Entry, Phase, ServiceId, Version};

/// The number of bytes of an IPv4 address with its port.
const ADDRESS_BYTES: usize = 6;

/// The largest number of entries of a message.
const MAX_ENTRIES: usize = 1 << 20;

/// Encoded entries that can't be decoded.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Snafu)]
pub(super) enum UnpackError {
    /// There are too many.
    #[snafu(display("too many entries"))]
    TooMany,
    /// A column has fewer or more values than there are entries.
    #[snafu(display("the columns differ in length"))]
    Length,
    /// An id refers to more of the one before than there is.
    #[snafu(display("an id with an impossible prefix"))]
    Prefix,
    /// A reference points outside its table.
    #[snafu(display("a reference outside its table"))]
    Reference,
}

/// What many entries have in common.
#[derive(Clone, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
struct Kind {
    service: u32,
    data_centre: u32,
    version: u32,
    slots: u32,
    is_draining: bool,
}

/// Encoded entries.
#[serde_as]
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub(super) struct PackedEntries {
    /// Names of services, data centres and versions.
    names: Vec<Arc<str>>,
    kinds: Vec<Kind>,
    /// For each entry, the number of bytes that its id shares with the one before.
    #[serde_as(as = "Bytes")]
    shared: Vec<u8>,
    /// For each entry, the rest of its id.
    rests: Vec<String>,
    /// For each entry, the index of its kind.
    kind_of: Vec<u32>,
    /// For each entry, its IPv4 address and port; zeros where it has another address.
    #[serde_as(as = "Bytes")]
    addresses: Vec<u8>,
    /// The other addresses, by the index of the entry.
    other_addresses: Vec<(u32, SocketAddr)>,
    /// The earliest start time.
    earliest: u64,
    /// For each entry, its start time since then.
    start_times: Vec<Option<u64>>,
}

impl PackedEntries {
    /// Encodes entries.
    pub(super) fn pack(entries: &[Entry]) -> PackedEntries {
        let mut sorted: Vec<&Entry> = entries.iter().collect();
        sorted.sort_by(|one, other| one.id.cmp(&other.id));
        let starts = sorted.iter().filter_map(|entry| entry.start_time);
        let mut packer = Packer {
            packed: PackedEntries {
                earliest: starts.min().unwrap_or(0),
                ..PackedEntries::default()
            },
            names: HashMap::new(),
            kinds: HashMap::new(),
            before: "",
        };
        sorted.into_iter().for_each(|entry| packer.push(entry));
        packer.packed
    }

    /// Decodes the entries.
    ///
    /// # Errors
    ///
    /// Fails where the columns do not fit together.
    pub(super) fn unpack(&self) -> Result<Vec<Entry>, UnpackError> {
        let count = self.rests.len();
        if count > MAX_ENTRIES {
            return TooManySnafu.fail();
        }
        let lengths = [
            self.shared.len(),
            self.kind_of.len(),
            self.start_times.len(),
        ];
        let has_lengths = lengths.iter().all(|length| *length == count);
        if !has_lengths || self.addresses.len() != count * ADDRESS_BYTES {
            return LengthSnafu.fail();
        }
        let mut id = String::new();
        let mut entries = Vec::with_capacity(count);
        for i in 0..count {
            let kept = id.get(..usize::from(self.shared[i]));
            id = kept.context(PrefixSnafu)?.to_owned() + &self.rests[i];
            entries.push(self.entry(i, &id)?);
        }
        for (i, address) in &self.other_addresses {
            let entry = entries.get_mut(*i as usize);
            entry.context(ReferenceSnafu)?.address = *address;
        }
        Ok(entries)
    }

    fn entry(&self, i: usize, id: &str) -> Result<Entry, UnpackError> {
        let kind = self.kinds.get(self.kind_of[i] as usize);
        let kind = kind.context(ReferenceSnafu)?;
        let name = |index: u32| {
            let name = self.names.get(index as usize);
            name.cloned().context(ReferenceSnafu)
        };
        let (service, data_centre): (ServiceId, DataCentre) =
            (name(kind.service)?, name(kind.data_centre)?);
        let version: Version = name(kind.version)?;
        Ok(Entry {
            id: Arc::from(id),
            start_time: self.start_times[i].map(|since| self.earliest.saturating_add(since)),
            service,
            address: self.address(i),
            data_centre,
            version,
            slots: kind.slots,
            phase: if kind.is_draining {
                Phase::Draining
            } else {
                Phase::Ready
            },
        })
    }

    /// Returns the IPv4 address of an entry. The column has been checked to be long enough.
    fn address(&self, i: usize) -> SocketAddr {
        let at = i * ADDRESS_BYTES;
        let bytes = &self.addresses[at..at + ADDRESS_BYTES];
        let ip = Ipv4Addr::new(bytes[0], bytes[1], bytes[2], bytes[3]);
        SocketAddrV4::new(ip, u16::from_be_bytes([bytes[4], bytes[5]])).into()
    }
}

/// Entries that are being encoded.
struct Packer<'a> {
    packed: PackedEntries,
    names: HashMap<&'a str, u32>,
    kinds: HashMap<Kind, u32>,
    /// The id of the last entry.
    before: &'a str,
}

impl<'a> Packer<'a> {
    fn push(&mut self, entry: &'a Entry) {
        let kind = Kind {
            service: self.name(&entry.service),
            data_centre: self.name(&entry.data_centre),
            version: self.name(&entry.version),
            slots: entry.slots,
            is_draining: entry.phase == Phase::Draining,
        };
        let kinds = &mut self.packed.kinds;
        let kind_index = *self.kinds.entry(kind).or_insert_with_key(|kind| {
            kinds.push(kind.clone());
            (kinds.len() - 1) as u32
        });
        let shared = shared_prefix(self.before, &entry.id);
        let packed = &mut self.packed;
        push_address(packed, entry.address);
        packed.shared.push(shared);
        packed
            .rests
            .push(entry.id[usize::from(shared)..].to_owned());
        packed.kind_of.push(kind_index);
        let since = entry.start_time.map(|at| at - packed.earliest);
        packed.start_times.push(since);
        self.before = &entry.id;
    }

    /// Returns the index of a name in the table.
    fn name(&mut self, name: &'a Arc<str>) -> u32 {
        let names = &mut self.packed.names;
        *self.names.entry(name).or_insert_with(|| {
            names.push(name.clone());
            (names.len() - 1) as u32
        })
    }
}

/// Adds the address of the entry that is being encoded.
fn push_address(packed: &mut PackedEntries, address: SocketAddr) {
    match address {
        SocketAddr::V4(address) => {
            packed.addresses.extend(address.ip().octets());
            packed.addresses.extend(address.port().to_be_bytes());
        }
        SocketAddr::V6(_) => {
            let index = packed.rests.len() as u32;
            packed.other_addresses.push((index, address));
            packed.addresses.extend([0; ADDRESS_BYTES]);
        }
    }
}

/// Returns the number of bytes with which both texts begin, as whole characters.
fn shared_prefix(one: &str, other: &str) -> u8 {
    let pairs = one.chars().zip(other.chars());
    let equal = pairs.take_while(|(one, other)| one == other);
    let mut shared = 0;
    for (char, _) in equal {
        match u8::try_from(usize::from(shared) + char.len_utf8()) {
            Ok(longer) => shared = longer,
            Err(_) => break,
        }
    }
    shared
}
