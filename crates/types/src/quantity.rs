//! Parsing and formatting of quantities with units: `500ms`, `2GiB`, `1500m`.

use std::time::Duration;

/// Units of size in bytes. The first four, the binary ones, are used for formatting.
const UNITS: [(&str, u64); 8] = [
    ("KiB", 1 << 10),
    ("MiB", 1 << 20),
    ("GiB", 1 << 30),
    ("TiB", 1 << 40),
    ("kB", 1_000),
    ("MB", 1_000_000),
    ("GB", 1_000_000_000),
    ("B", 1),
];

/// Parses a size to bytes: a whole number with an optional unit, bytes if there is none.
///
/// ```
/// assert_eq!(types::quantity::parse_bytes("2GiB"), Ok(2 << 30));
/// assert!(types::quantity::parse_bytes("2 parsecs").is_err());
/// ```
pub fn parse_bytes(text: &str) -> Result<u64, String> {
    let text = text.trim();
    let digits = text.find(|c: char| !c.is_ascii_digit()).unwrap_or(text.len());
    let (number, unit) = text.split_at(digits);
    let number: u64 =
        number.parse().map_err(|_| format!("`{text}` is not a size such as 512MiB"))?;
    let unit = unit.trim();
    let factor =
        if unit.is_empty() {
            1
        } else {
            UNITS.iter().find(|(name, _)| *name == unit).map(|(_, factor)| *factor).ok_or_else(
                || format!("`{unit}` is not a unit of size; use KiB, MiB, GiB or TiB"),
            )?
        };
    number.checked_mul(factor).ok_or_else(|| format!("`{text}` is too large"))
}

/// Formats a size in bytes with the largest binary unit that represents it exactly.
///
/// ```
/// assert_eq!(types::quantity::format_bytes(3 << 20), "3MiB");
/// ```
pub fn format_bytes(bytes: u64) -> String {
    let unit = UNITS[..4]
        .iter()
        .rev()
        .find(|(_, factor)| bytes >= *factor && bytes.is_multiple_of(*factor));
    match unit {
        Some((name, factor)) => format!("{}{name}", bytes / factor),
        None => format!("{bytes}B"),
    }
}

/// Parses a number of processors, such as `2`, `1.5` or `250m`, to millicores.
///
/// ```
/// assert_eq!(types::quantity::parse_cpu("1.5"), Ok(1_500));
/// assert_eq!(types::quantity::parse_cpu("250m"), Ok(250));
/// ```
pub fn parse_cpu(text: &str) -> Result<u64, String> {
    let error = || format!("`{text}` is not a number of processors such as 2, 1.5 or 250m");
    let text = text.trim();
    if let Some(millis) = text.strip_suffix('m') {
        return millis.parse().map_err(|_| error());
    }
    let cores: f64 = text.parse().map_err(|_| error())?;
    if !(0.0..=1e9).contains(&cores) {
        return Err(error());
    }
    Ok((cores * 1_000.0).round() as u64)
}

/// Serde functions for [`Duration`]: text such as `500ms` in human-readable formats, seconds and
/// nanoseconds in binary ones.
pub mod duration {
    use super::Duration;
    use serde::{de, Deserialize, Deserializer, Serialize, Serializer};

    /// Serializes a duration.
    pub fn serialize<S>(value: &Duration, serializer: S) -> Result<S::Ok, S::Error>
    where
        S: Serializer,
    {
        if serializer.is_human_readable() {
            serializer.collect_str(&humantime::format_duration(*value))
        } else {
            value.serialize(serializer)
        }
    }

    /// Deserializes a duration.
    pub fn deserialize<'de, D>(deserializer: D) -> Result<Duration, D::Error>
    where
        D: Deserializer<'de>,
    {
        if !deserializer.is_human_readable() {
            return Duration::deserialize(deserializer);
        }
        let text = String::deserialize(deserializer)?;
        humantime::parse_duration(&text)
            .map_err(|e| de::Error::custom(format!("`{text}` is not a time such as 500ms: {e}")))
    }
}

/// Serde functions for an optional [`Duration`], in the format of [`duration`].
pub mod optional_duration {
    use super::Duration;
    use serde::{Deserialize, Deserializer, Serialize, Serializer};

    #[derive(Serialize, Deserialize)]
    struct Wrapped(#[serde(with = "super::duration")] Duration);

    /// Serializes an optional duration.
    pub fn serialize<S>(value: &Option<Duration>, serializer: S) -> Result<S::Ok, S::Error>
    where
        S: Serializer,
    {
        value.map(Wrapped).serialize(serializer)
    }

    /// Deserializes an optional duration.
    pub fn deserialize<'de, D>(deserializer: D) -> Result<Option<Duration>, D::Error>
    where
        D: Deserializer<'de>,
    {
        Ok(Option::<Wrapped>::deserialize(deserializer)?.map(|w| w.0))
    }
}
