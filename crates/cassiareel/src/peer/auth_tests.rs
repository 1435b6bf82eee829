//! Tests of key parsing and key rotation.

use super::{Keys, KeysError};

#[test]
fn errors_name_the_invalid_key() {
    struct Case {
        name: &'static str,
        keys: Vec<String>,
        error: KeysError,
    }
    let cases = [
        Case {
            name: "none",
            keys: vec![],
            error: KeysError::Missing,
        },
        Case {
            name: "second is short",
            keys: vec!["ab".repeat(32), "ab".repeat(31)],
            error: KeysError::Malformed { number: 2 },
        },
        Case {
            name: "not hexadecimal",
            keys: vec!["xy".repeat(32)],
            error: KeysError::Malformed { number: 1 },
        },
    ];
    for case in cases {
        assert_eq!(
            Keys::new(&case.keys).unwrap_err(),
            case.error,
            "{}",
            case.name
        );
    }
}

#[test]
fn adjacent_rotation_steps_accept_each_others_digests() {
    let (old, new) = ("01".repeat(32), "02".repeat(32));
    let steps = [
        vec![old.clone()],
        vec![old.clone(), new.clone()],
        vec![new.clone(), old],
        vec![new],
    ];
    let steps: Vec<Keys> = steps.iter().map(|keys| Keys::new(keys).unwrap()).collect();
    for pair in steps.windows(2) {
        for (from, to) in [(0, 1), (1, 0)] {
            let digest = pair[from].sign("/peer/exchange", b"x");
            assert!(pair[to].accepts("/peer/exchange", b"x", &digest));
        }
    }
    let digest = steps[0].sign("/peer/exchange", b"x");
    assert!(!steps[3].accepts("/peer/exchange", b"x", &digest));
    assert!(
        !steps[0].accepts("/peer/settings", b"x", &digest),
        "a digest is valid for one path only"
    );
}
