//! Only unchanged tickets are accepted.

use super::ticket::{Ticket, TicketError, TicketKeys};

fn ticket() -> Ticket {
    Ticket {
        owner: [1; 16],
        body: [2; 16],
        generation: "g-0123456789abcdef".into(),
        version: "v1".into(),
        backend: "10.0.0.1:80".parse().expect("an address"),
        attempt: 1,
        position: 70_000,
        text: 310_000,
        tokens: [3; 16],
    }
}

#[test]
fn a_changed_ticket_is_rejected() {
    let keys = TicketKeys::new(&["key"]);
    let id = keys.sign(&ticket()).expect("there is a key");
    assert_eq!(keys.verify(&id), Ok(ticket()));
    for at in 0..id.len() {
        let mut changed = id.clone().into_bytes();
        changed[at] = if changed[at] == b'A' { b'B' } else { b'A' };
        let changed = String::from_utf8(changed).expect("it stays ASCII");
        assert!(keys.verify(&changed).is_err(), "byte {at}");
    }
    assert_eq!(keys.verify(""), Err(TicketError::Malformed));
    assert_eq!(keys.verify("not a ticket"), Err(TicketError::Malformed));
    assert!(keys.verify(&id[..id.len() - 4]).is_err());
}

#[test]
fn no_tickets_are_issued_without_a_key() {
    let keys = TicketKeys::default();
    assert!(keys.is_empty());
    assert_eq!(keys.sign(&ticket()), None);
    let id = TicketKeys::new(&["key"])
        .sign(&ticket())
        .expect("there is a key");
    assert_eq!(keys.verify(&id), Err(TicketError::Forged));
}

#[test]
fn a_ticket_is_short() {
    let id = TicketKeys::new(&["key"])
        .sign(&ticket())
        .expect("there is a key");
    assert!(id.len() < 256, "{} bytes", id.len());
}
