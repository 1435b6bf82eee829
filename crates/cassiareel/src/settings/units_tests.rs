//! Tests of values with units.

use std::time::Duration;

use test_case::test_case;

use super::units::{Digest, DurationText, Rate, Share, SizeText};

#[test_case("0s", 0)]
#[test_case("250ms", 250)]
#[test_case("30s", 30_000)]
#[test_case("90s", 90_000)]
#[test_case("5min", 300_000)]
#[test_case("2h", 7_200_000)]
#[test_case("7d", 604_800_000)]
fn a_duration_is_parsed_and_formatted(text: &str, millis: u64) {
    let duration = Duration::from_millis(millis);
    assert_eq!(DurationText::parse(text), Ok(duration));
    assert_eq!(DurationText::format(duration), text);
}

#[test_case("")]
#[test_case("5")]
#[test_case("s")]
#[test_case("-5s")]
#[test_case("1.5s")]
#[test_case("5 s")]
#[test_case("5sec")]
#[test_case("99999999999999999999s"; "more digits than fit")]
#[test_case("999999999999999999d"; "more milliseconds than fit")]
fn the_error_of_a_malformed_duration_names_the_text_and_the_expected_form(text: &str) {
    let err = DurationText::parse(text).unwrap_err();
    assert_eq!(err.text, text);
    assert!(err.to_string().contains("\"250ms\""));
}

#[test_case("0B", 0)]
#[test_case("1000B", 1000)]
#[test_case("64KiB", 65_536)]
#[test_case("1GiB", 1 << 30)]
fn a_size_is_parsed_and_formatted(text: &str, bytes: u64) {
    assert_eq!(SizeText::parse(text), Ok(bytes));
    assert_eq!(SizeText::format(bytes), text);
}

#[test_case("100/s", 100.0)]
#[test_case("30/min", 0.5)]
#[test_case("36/h", 0.01)]
fn a_rate_is_parsed_and_formatted(text: &str, per_second: f64) {
    let rate: Rate = text.parse().unwrap();
    assert_eq!(rate.per_second(), per_second);
    assert_eq!(rate.to_string(), text);
}

#[test_case("0%", 0)]
#[test_case("0.0001%", 1)]
#[test_case("0.5%", 5_000)]
#[test_case("12.25%", 122_500)]
#[test_case("100%", 1_000_000)]
fn a_share_is_parsed_and_formatted(text: &str, ppm: u32) {
    assert_eq!(text.parse(), Ok(Share::from_ppm(ppm)));
    assert_eq!(Share::from_ppm(ppm).to_string(), text);
}

#[test_case("100")]
#[test_case("101%")]
#[test_case("-1%")]
#[test_case("1.%")]
#[test_case("0.00001%")]
#[test_case("99999999999%")]
fn a_malformed_share_is_rejected(text: &str) {
    assert!(text.parse::<Share>().is_err());
}

#[test_case("100")]
#[test_case("100/d")]
#[test_case("/s")]
#[test_case("1.5/s")]
fn a_malformed_rate_is_rejected(text: &str) {
    assert!(text.parse::<Rate>().is_err());
}

#[test]
fn a_digest_has_64_hexadecimal_digits() {
    let text = "ab".repeat(32);
    assert_eq!(text.parse::<Digest>().unwrap().to_string(), text);
    assert!("ab".parse::<Digest>().is_err());
    assert!("zz".repeat(32).parse::<Digest>().is_err());
}
