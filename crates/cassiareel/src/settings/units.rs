/*!
Values with units, in the text form of the tree.

A bare number does not show its unit, so the tree rejects one where a unit is required. A duration
is written as `"250ms"`, a size as `"64KiB"`, a rate as `"100/s"` and a share as `"5%"`. The value
`"none"` lifts an inherited limit. A duration or size is formatted in the largest unit that
represents it exactly.
*/

use std::{fmt, marker::PhantomData, str::FromStr, time::Duration};

use serde::{de::Error as _, Deserialize, Deserializer, Serialize, Serializer};
use serde_with::{DeserializeAs, SerializeAs};
use snafu::Snafu;

/// A text is not a value with a unit.
#[derive(Clone, Debug, Eq, PartialEq, Snafu)]
#[snafu(display("`{text}` is not {expected}"))]
pub struct UnitError {
    /// The text.
    pub text: String,
    /// The expected form.
    pub expected: &'static str,
}

const EXPECTED_DURATION: &str =
    "a duration: write a whole number and a unit, such as \"250ms\", \"30s\", \
                    \"5min\", \"2h\" or \"7d\"";
const EXPECTED_SIZE: &str =
    "a size: write a whole number and a unit, such as \"512B\", \"64KiB\", \
                    \"4MiB\" or \"1GiB\"";
const EXPECTED_RATE: &str =
    "a rate: write a whole number and a period, such as \"100/s\", \"30/min\" or \
                    \"5/h\"";
const EXPECTED_SHARE: &str =
    "a share: write a percentage from 0 to 100, such as \"5%\" or \"0.5%\"";
const EXPECTED_DIGEST: &str =
    "a digest: write 64 hexadecimal digits, as `cassiareel keys add` prints them";

/// The units of durations in milliseconds, the largest first.
const DURATION_UNITS: [(&str, u64); 5] = [
    ("d", 86_400_000),
    ("h", 3_600_000),
    ("min", 60_000),
    ("s", 1_000),
    ("ms", 1),
];

/// The units of sizes in bytes, the largest first.
const SIZE_UNITS: [(&str, u64); 4] = [
    ("GiB", 1 << 30),
    ("MiB", 1 << 20),
    ("KiB", 1 << 10),
    ("B", 1),
];

/// A `serde_with` adapter for a [`Duration`] of whole milliseconds, written as `"250ms"`.
#[derive(Clone, Copy, Debug)]
pub struct DurationText;

impl DurationText {
    /// Formats a duration; fractions of a millisecond are dropped.
    ///
    /// # Examples
    ///
    /// ```
    /// use std::time::Duration;
    /// use cassiareel::settings::units::DurationText;
    ///
    /// assert_eq!(DurationText::format(Duration::from_millis(1500)), "1500ms");
    /// assert_eq!(DurationText::format(Duration::from_secs(120)), "2min");
    /// ```
    pub fn format(duration: Duration) -> String {
        let millis = u64::try_from(duration.as_millis()).unwrap_or(u64::MAX);
        format_unit(millis, &DURATION_UNITS, "s")
    }

    /// Parses a duration.
    ///
    /// # Errors
    ///
    /// Fails unless the text is a whole number followed by a known unit, and fits in 64 bits.
    pub fn parse(text: &str) -> Result<Duration, UnitError> {
        parse_unit(text, &DURATION_UNITS)
            .map(Duration::from_millis)
            .ok_or_else(|| unit_error(text, EXPECTED_DURATION))
    }
}

impl SerializeAs<Duration> for DurationText {
    fn serialize_as<S>(source: &Duration, serializer: S) -> Result<S::Ok, S::Error>
    where
        S: Serializer,
    {
        serializer.serialize_str(&DurationText::format(*source))
    }
}

impl<'de> DeserializeAs<'de, Duration> for DurationText {
    fn deserialize_as<D>(deserializer: D) -> Result<Duration, D::Error>
    where
        D: Deserializer<'de>,
    {
        DurationText::parse(&scalar_text(deserializer)?).map_err(D::Error::custom)
    }
}

/// A `serde_with` adapter for a number of bytes, written as `"64KiB"`.
#[derive(Clone, Copy, Debug)]
pub struct SizeText;

impl SizeText {
    /// Formats a size in bytes.
    ///
    /// # Examples
    ///
    /// ```
    /// use cassiareel::settings::units::SizeText;
    ///
    /// assert_eq!(SizeText::format(65_536), "64KiB");
    /// assert!(SizeText::parse("64 kilobytes").is_err());
    /// ```
    pub fn format(bytes: u64) -> String {
        format_unit(bytes, &SIZE_UNITS, "B")
    }

    /// Parses a size into bytes.
    ///
    /// # Errors
    ///
    /// Fails unless the text is a whole number followed by a known unit, and fits in 64 bits.
    pub fn parse(text: &str) -> Result<u64, UnitError> {
        parse_unit(text, &SIZE_UNITS).ok_or_else(|| unit_error(text, EXPECTED_SIZE))
    }
}

impl SerializeAs<u64> for SizeText {
    fn serialize_as<S>(source: &u64, serializer: S) -> Result<S::Ok, S::Error>
    where
        S: Serializer,
    {
        serializer.serialize_str(&SizeText::format(*source))
    }
}

impl<'de> DeserializeAs<'de, u64> for SizeText {
    fn deserialize_as<D>(deserializer: D) -> Result<u64, D::Error>
    where
        D: Deserializer<'de>,
    {
        SizeText::parse(&scalar_text(deserializer)?).map_err(D::Error::custom)
    }
}

/// A `serde_with` adapter for an optional limit: `"none"`, or a value in the form of `A`.
#[derive(Clone, Copy, Debug)]
pub struct OrNone<A>(PhantomData<A>);

/// The text of an absent limit.
const NONE_TEXT: &str = "none";

impl<A, T> SerializeAs<Option<T>> for OrNone<A>
where
    A: SerializeAs<T>,
{
    fn serialize_as<S>(source: &Option<T>, serializer: S) -> Result<S::Ok, S::Error>
    where
        S: Serializer,
    {
        match source {
            Some(value) => A::serialize_as(value, serializer),
            None => serializer.serialize_str(NONE_TEXT),
        }
    }
}

impl<'de, A, T> DeserializeAs<'de, Option<T>> for OrNone<A>
where
    A: for<'a> DeserializeAs<'a, T>,
{
    fn deserialize_as<D>(deserializer: D) -> Result<Option<T>, D::Error>
    where
        D: Deserializer<'de>,
    {
        let value = toml::Value::deserialize(deserializer)?;
        if value.as_str() == Some(NONE_TEXT) {
            return Ok(None);
        }
        A::deserialize_as(value)
            .map(Some)
            .map_err(|err| D::Error::custom(format!("{}, or \"none\"", err.message())))
    }
}

/// A count per period, such as `"100/s"`.
///
/// # Examples
///
/// ```
/// use cassiareel::settings::units::Rate;
///
/// let rate: Rate = "30/min".parse().unwrap();
/// assert_eq!(rate.per_second(), 0.5);
/// assert_eq!(rate.to_string(), "30/min");
/// ```
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Rate {
    count: u64,
    period: Duration,
}

impl Rate {
    /// Returns a rate of `count` per second.
    pub const fn from_per_second(count: u64) -> Rate {
        Rate {
            count,
            period: Duration::from_secs(1),
        }
    }

    /// Returns the count per second.
    pub fn per_second(self) -> f64 {
        self.count as f64 / self.period.as_secs_f64()
    }
}

/// The periods of rates, with their names.
const RATE_PERIODS: [(&str, Duration); 3] = [
    ("s", Duration::from_secs(1)),
    ("min", Duration::from_secs(60)),
    ("h", Duration::from_secs(3600)),
];

impl fmt::Display for Rate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let name = RATE_PERIODS
            .iter()
            .find(|(_, period)| *period == self.period)
            .map_or("s", |(name, _)| name);
        write!(f, "{}/{name}", self.count)
    }
}

impl FromStr for Rate {
    type Err = UnitError;

    fn from_str(text: &str) -> Result<Rate, UnitError> {
        let read = || {
            let (count, name) = text.split_once('/')?;
            let (_, period) = RATE_PERIODS.iter().find(|(known, _)| *known == name)?;
            Some(Rate {
                count: parse_digits(count)?,
                period: *period,
            })
        };
        read().ok_or_else(|| unit_error(text, EXPECTED_RATE))
    }
}

/// A share of a whole, such as `"5%"`.
///
/// # Examples
///
/// ```
/// use cassiareel::settings::units::Share;
///
/// let share: Share = "0.5%".parse().unwrap();
/// assert_eq!(share.fraction(), 0.005);
/// assert_eq!(share, Share::from_ppm(5_000));
/// ```
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub struct Share {
    ppm: u32,
}

/// Parts per million in one percent.
const PPM_PER_PERCENT: u32 = 10_000;

impl Share {
    /// The whole.
    pub const WHOLE: Share = Share::from_percent(100);

    /// Returns a share of `percent` percent.
    pub const fn from_percent(percent: u32) -> Share {
        Share::from_ppm(percent * PPM_PER_PERCENT)
    }

    /// Returns a share of `ppm` parts per million.
    pub const fn from_ppm(ppm: u32) -> Share {
        Share { ppm }
    }

    /// Returns the share in parts per million.
    pub fn ppm(self) -> u32 {
        self.ppm
    }

    /// Returns the share as a number from 0 to 1.
    pub fn fraction(self) -> f64 {
        f64::from(self.ppm) / 1e6
    }
}

impl fmt::Display for Share {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let whole = self.ppm / PPM_PER_PERCENT;
        let rest = self.ppm % PPM_PER_PERCENT;
        if rest == 0 {
            return write!(f, "{whole}%");
        }
        let digits = format!("{rest:04}");
        write!(f, "{whole}.{}%", digits.trim_end_matches('0'))
    }
}

impl FromStr for Share {
    type Err = UnitError;

    fn from_str(text: &str) -> Result<Share, UnitError> {
        let read = || {
            let number = text.strip_suffix('%')?;
            let (whole, rest) = number.split_once('.').unwrap_or((number, "0"));
            if rest.is_empty() || rest.len() > 4 {
                return None;
            }
            let whole = u32::try_from(parse_digits(whole)?).ok()?;
            let rest = u32::try_from(parse_digits(&format!("{rest:0<4}"))?).ok()?;
            let ppm = whole.checked_mul(PPM_PER_PERCENT)?.checked_add(rest)?;
            (ppm <= Share::WHOLE.ppm).then_some(Share { ppm })
        };
        read().ok_or_else(|| unit_error(text, EXPECTED_SHARE))
    }
}

/// A SHA-256 digest in hexadecimal.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Digest(pub [u8; 32]);

impl fmt::Display for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&hex::encode(self.0))
    }
}

impl FromStr for Digest {
    type Err = UnitError;

    fn from_str(text: &str) -> Result<Digest, UnitError> {
        hex::decode(text)
            .ok()
            .and_then(|bytes| bytes.try_into().ok())
            .map(Digest)
            .ok_or_else(|| unit_error(text, EXPECTED_DIGEST))
    }
}

impl Serialize for Digest {
    fn serialize<S>(&self, serializer: S) -> Result<S::Ok, S::Error>
    where
        S: Serializer,
    {
        serializer.collect_str(self)
    }
}

impl<'de> Deserialize<'de> for Digest {
    fn deserialize<D>(deserializer: D) -> Result<Digest, D::Error>
    where
        D: Deserializer<'de>,
    {
        String::deserialize(deserializer)?
            .parse()
            .map_err(D::Error::custom)
    }
}

/// Deserializes any value as text, so that a number without a unit gets the error message of the
/// expected unit.
fn scalar_text<'de, D>(deserializer: D) -> Result<String, D::Error>
where
    D: Deserializer<'de>,
{
    let value = toml::Value::deserialize(deserializer)?;
    Ok(match value {
        toml::Value::String(text) => text,
        other => other.to_string(),
    })
}

fn unit_error(text: &str, expected: &'static str) -> UnitError {
    UnitError {
        text: text.to_owned(),
        expected,
    }
}

/// Parses a whole number with one of the units; `None` if the text is malformed or overflows.
fn parse_unit(text: &str, units: &[(&str, u64)]) -> Option<u64> {
    let split = text.find(|c: char| !c.is_ascii_digit())?;
    let (number, name) = text.split_at(split);
    let (_, factor) = units.iter().find(|(known, _)| *known == name)?;
    parse_digits(number)?.checked_mul(*factor)
}

/// Formats a value in the largest unit that divides it; 0 is written with the unit `zero_unit`.
fn format_unit(value: u64, units: &[(&str, u64)], zero_unit: &str) -> String {
    if value == 0 {
        return format!("0{zero_unit}");
    }
    let (name, factor) = units
        .iter()
        .find(|(_, factor)| value % factor == 0)
        .expect("the smallest unit divides every value");
    format!("{}{name}", value / factor)
}

/// Parses a number of decimal digits only, without sign or spaces.
fn parse_digits(text: &str) -> Option<u64> {
    let digits = !text.is_empty() && text.bytes().all(|b| b.is_ascii_digit());
    digits.then(|| text.parse().ok())?
}
