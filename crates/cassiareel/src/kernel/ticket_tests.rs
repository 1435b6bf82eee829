//! Tickets hold for their caller's request, from any key of the ring, and for nothing else.

use proptest::{
    prelude::*,
    test_runner::{Config, RngAlgorithm, TestRng, TestRunner},
};

use super::{
    ticket::{Binding, TextDigest, Ticket, TicketError},
    Keyring,
};

const BINDING: Binding = Binding {
    account: "shops",
    caller: "till-7",
    request: b"digest",
};

fn ticket() -> Ticket {
    Ticket {
        generation: "g-0123456789abcdef".into(),
        attempt: 2,
        backend: "10.0.0.1:8000".into(),
        version: "v1".into(),
        position: 812,
        text: 3_401,
        digest: 7 << 100,
    }
}

/// A binding that a ticket of another must not open with.
struct Case {
    name: &'static str,
    binding: Binding<'static>,
}

#[test]
fn a_ticket_holds_for_its_caller_and_request_alone() {
    let ring = Keyring::new(&[(1, b"secret")]);
    let sealed = ticket().seal(&ring, &BINDING);
    assert_eq!(Ticket::open(&sealed, &ring, &BINDING), Ok(ticket()));
    let cases = [
        Case {
            name: "account",
            binding: Binding {
                account: "other",
                ..BINDING
            },
        },
        Case {
            name: "caller",
            binding: Binding {
                caller: "till-8",
                ..BINDING
            },
        },
        Case {
            name: "request",
            binding: Binding {
                request: b"other",
                ..BINDING
            },
        },
        Case {
            name: "a border moved",
            binding: Binding {
                account: "shopst",
                caller: "ill-7",
                ..BINDING
            },
        },
    ];
    for case in cases {
        let opened = Ticket::open(&sealed, &ring, &case.binding);
        assert_eq!(opened, Err(TicketError::Foreign), "{}", case.name);
    }
    let other = Keyring::new(&[(1, b"another")]);
    assert_eq!(
        Ticket::open(&sealed, &other, &BINDING),
        Err(TicketError::Foreign)
    );
}

#[test]
fn tickets_outlive_a_rotation_of_keys() {
    let old = Keyring::new(&[(1, b"first")]);
    let both = Keyring::new(&[(2, b"second"), (1, b"first")]);
    let new = Keyring::new(&[(2, b"second")]);
    let before = ticket().seal(&old, &BINDING);
    let after = ticket().seal(&both, &BINDING);
    assert!(Ticket::open(&before, &both, &BINDING).is_ok());
    assert!(Ticket::open(&after, &new, &BINDING).is_ok());
    assert_eq!(
        Ticket::open(&before, &new, &BINDING),
        Err(TicketError::Foreign)
    );
}

#[test]
fn a_changed_ticket_is_refused() {
    let ring = Keyring::new(&[(1, b"secret")]);
    let sealed = ticket().seal(&ring, &BINDING).into_bytes();
    assert!(sealed.len() < 200, "{} bytes", sealed.len());
    for i in 0..sealed.len() {
        let mut changed = sealed.clone();
        changed[i] = if changed[i] == b'A' { b'B' } else { b'A' };
        let text = String::from_utf8(changed).expect("ASCII");
        assert!(Ticket::open(&text, &ring, &BINDING).is_err(), "byte {i}");
    }
}

#[test]
fn any_text_is_answered() {
    let ring = Keyring::new(&[(1, b"secret")]);
    let config = Config {
        cases: 2_000,
        failure_persistence: None,
        ..Config::default()
    };
    let rng = TestRng::deterministic_rng(RngAlgorithm::ChaCha);
    TestRunner::new_with_rng(config, rng)
        .run(&"[A-Za-z0-9_-]{0,600}", |text| {
            prop_assert!(Ticket::open(&text, &ring, &BINDING).is_err());
            Ok(())
        })
        .expect("no text panics or opens");
}

#[test]
fn the_text_digest_does_not_depend_on_how_text_is_cut() {
    let mut parts = TextDigest::default();
    parts.push("Dear ");
    parts.push("Ana");
    let mut whole = TextDigest::default();
    whole.push("Dear Ana");
    assert_eq!(parts.value(), whole.value());
}
