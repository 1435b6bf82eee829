/*!
Values with units, as the tree writes them.

A bare number says nothing of its unit, so the tree refuses one where a unit is due. Durations are
`"250ms"`, sizes `"64KiB"`, rates `"100/s"` and shares `"5%"`; a limit that a child lifts is
`"none"`. Each value is written back in the largest unit that holds it exactly.
*/

use std::{fmt, marker::PhantomData, str::FromStr, time::Duration};

use serde::{de::Error as _, Deserialize, Deserializer, Serialize, Serializer};
use serde_with::{DeserializeAs, SerializeAs};
use snafu::Snafu;

/// Why a text is not a value with a unit.
#[derive(Clone, Debug, Eq, PartialEq, Snafu)]
#[snafu(display("`{text}` is not {expected}"))]
pub struct UnitError {
    /// The text.
    pub text: String,
    /// What would be right.
    pub expected: &'static str,
}

const SPAN: &str = "a duration: write a whole number and a unit, such as \"250ms\", \"30s\", \
                    \"5min\", \"2h\" or \"7d\"";
const SIZE: &str = "a size: write a whole number and a unit, such as \"512B\", \"64KiB\", \
                    \"4MiB\" or \"1GiB\"";
const RATE: &str = "a rate: write a whole number and a time, such as \"100/s\", \"30/min\" or \
                    \"5/h\"";
const SHARE: &str = "a share: write a percentage from 0 to 100, such as \"5%\" or \"0.5%\"";
const DIGEST: &str = "a digest: write 64 hexadecimal digits, as `cassiareel keys add` prints them";

/// Units of durations in milliseconds, largest first.
const SPANS: [(&str, u64); 5] = [
    ("d", 86_400_000),
    ("h", 3_600_000),
    ("min", 60_000),
    ("s", 1_000),
    ("ms", 1),
];

/// Units of sizes in bytes, largest first.
const SIZES: [(&str, u64); 4] = [
    ("GiB", 1 << 30),
    ("MiB", 1 << 20),
    ("KiB", 1 << 10),
    ("B", 1),
];

/// Adapter of a [`Duration`] in whole milliseconds, such as `"250ms"`.
#[derive(Clone, Copy, Debug)]
pub struct DurationText;

impl DurationText {
    /// Writes a duration.
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
        format_unit(millis, &SPANS, "s")
    }

    /// Reads a duration.
    ///
    /// # Errors
    ///
    /// Fails without a whole number and a known unit.
    pub fn parse(text: &str) -> Result<Duration, UnitError> {
        parse_unit(text, &SPANS)
            .map(Duration::from_millis)
            .ok_or_else(|| unit_error(text, SPAN))
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
        DurationText::parse(&scalar(deserializer)?).map_err(D::Error::custom)
    }
}

/// Adapter of a count of bytes, such as `"64KiB"`.
#[derive(Clone, Copy, Debug)]
pub struct SizeText;

impl SizeText {
    /// Writes a size.
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
        format_unit(bytes, &SIZES, "B")
    }

    /// Reads a size.
    ///
    /// # Errors
    ///
    /// Fails without a whole number and a known unit.
    pub fn parse(text: &str) -> Result<u64, UnitError> {
        parse_unit(text, &SIZES).ok_or_else(|| unit_error(text, SIZE))
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
        SizeText::parse(&scalar(deserializer)?).map_err(D::Error::custom)
    }
}

/// Adapter of a limit that may be lifted: `"none"`, or a value as `A` writes it.
#[derive(Clone, Copy, Debug)]
pub struct OrNone<A>(PhantomData<A>);

/// How a lifted limit is written.
const NONE: &str = "none";

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
            None => serializer.serialize_str(NONE),
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
        if value.as_str() == Some(NONE) {
            return Ok(None);
        }
        A::deserialize_as(value)
            .map(Some)
            .map_err(|err| D::Error::custom(format!("{}, or \"none\"", err.message())))
    }
}

/// A count in a time, such as `"100/s"`.
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
    /// A count in a second.
    pub const fn from_per_second(count: u64) -> Rate {
        Rate {
            count,
            period: Duration::from_secs(1),
        }
    }

    /// The rate a second.
    pub fn per_second(self) -> f64 {
        self.count as f64 / self.period.as_secs_f64()
    }
}

/// Periods of rates by name.
const PERIODS: [(&str, Duration); 3] = [
    ("s", Duration::from_secs(1)),
    ("min", Duration::from_secs(60)),
    ("h", Duration::from_secs(3600)),
];

impl fmt::Display for Rate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let name = PERIODS
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
            let (_, period) = PERIODS.iter().find(|(known, _)| *known == name)?;
            Some(Rate {
                count: parse_whole(count)?,
                period: *period,
            })
        };
        read().ok_or_else(|| unit_error(text, RATE))
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

/// Millionths in a hundredth.
const PPM_PER_PERCENT: u32 = 10_000;

impl Share {
    /// The whole.
    pub const WHOLE: Share = Share::from_percent(100);

    /// A share in hundredths.
    pub const fn from_percent(percent: u32) -> Share {
        Share::from_ppm(percent * PPM_PER_PERCENT)
    }

    /// A share in millionths.
    pub const fn from_ppm(ppm: u32) -> Share {
        Share { ppm }
    }

    /// The share in millionths.
    pub fn ppm(self) -> u32 {
        self.ppm
    }

    /// The share as a number from 0 to 1.
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
            let whole = u32::try_from(parse_whole(whole)?).ok()?;
            let rest = u32::try_from(parse_whole(&format!("{rest:0<4}"))?).ok()?;
            let ppm = whole.checked_mul(PPM_PER_PERCENT)?.checked_add(rest)?;
            (ppm <= Share::WHOLE.ppm).then_some(Share { ppm })
        };
        read().ok_or_else(|| unit_error(text, SHARE))
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
            .ok_or_else(|| unit_error(text, DIGEST))
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

/// Reads a scalar as text, so that a number without a unit gets the unit's own error.
fn scalar<'de, D>(deserializer: D) -> Result<String, D::Error>
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

fn parse_unit(text: &str, units: &[(&str, u64)]) -> Option<u64> {
    let split = text.find(|c: char| !c.is_ascii_digit())?;
    let (number, name) = text.split_at(split);
    let (_, factor) = units.iter().find(|(known, _)| *known == name)?;
    parse_whole(number)?.checked_mul(*factor)
}

fn format_unit(value: u64, units: &[(&str, u64)], zero: &str) -> String {
    if value == 0 {
        return format!("0{zero}");
    }
    let (name, factor) = units
        .iter()
        .find(|(_, factor)| value % factor == 0)
        .expect("the smallest unit divides each value");
    format!("{}{name}", value / factor)
}

/// Reads decimal digits alone: no sign, no spaces.
fn parse_whole(text: &str) -> Option<u64> {
    let digits = !text.is_empty() && text.bytes().all(|b| b.is_ascii_digit());
    digits.then(|| text.parse().ok())?
}
