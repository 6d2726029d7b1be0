//! Amounts of resources that tasks need and workers have, as integers.

use crate::quantity::{format_bytes, parse_bytes, parse_cpu};
use serde::de::{self, Deserialize, Deserializer, MapAccess, SeqAccess, Visitor};
use serde::ser::{Serialize, SerializeStruct, Serializer};
use std::fmt;

const FIELDS: [&str; 3] = ["cpu", "memory", "accelerators"];

/// An amount of each of the three resources that tasks are placed by.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Resources {
    /// Processors in millicores.
    pub cpu: u64,
    /// Memory in bytes.
    pub memory: u64,
    /// Whole accelerator devices.
    pub accelerators: u32,
}

impl Resources {
    /// Returns whether no resource of this amount exceeds that of `free`.
    pub fn fits_in(&self, free: &Resources) -> bool {
        self.cpu <= free.cpu && self.memory <= free.memory && self.accelerators <= free.accelerators
    }

    /// Adds each resource; `None` on overflow.
    pub fn checked_add(&self, other: &Resources) -> Option<Resources> {
        Some(Resources {
            cpu: self.cpu.checked_add(other.cpu)?,
            memory: self.memory.checked_add(other.memory)?,
            accelerators: self.accelerators.checked_add(other.accelerators)?,
        })
    }

    /// Subtracts each resource; `None` if `other` is larger in any of them.
    ///
    /// ```
    /// use types::Resources;
    /// let free = Resources { cpu: 10, memory: 5, accelerators: 0 };
    /// assert_eq!(free.checked_sub(&Resources { cpu: 11, ..free }), None);
    /// ```
    pub fn checked_sub(&self, other: &Resources) -> Option<Resources> {
        Some(Resources {
            cpu: self.cpu.checked_sub(other.cpu)?,
            memory: self.memory.checked_sub(other.memory)?,
            accelerators: self.accelerators.checked_sub(other.accelerators)?,
        })
    }

    /// Subtracts each resource, with a minimum of zero.
    pub fn saturating_sub(&self, other: &Resources) -> Resources {
        Resources {
            cpu: self.cpu.saturating_sub(other.cpu),
            memory: self.memory.saturating_sub(other.memory),
            accelerators: self.accelerators.saturating_sub(other.accelerators),
        }
    }

    /// Multiplies each resource by `count`, saturating at the largest integer.
    pub fn saturating_mul(&self, count: u32) -> Resources {
        Resources {
            cpu: self.cpu.saturating_mul(u64::from(count)),
            memory: self.memory.saturating_mul(u64::from(count)),
            accelerators: self.accelerators.saturating_mul(count),
        }
    }

    /// Returns the maximum of each resource.
    pub fn max(&self, other: &Resources) -> Resources {
        Resources {
            cpu: self.cpu.max(other.cpu),
            memory: self.memory.max(other.memory),
            accelerators: self.accelerators.max(other.accelerators),
        }
    }

    /// Returns the dominant share: the largest fraction of `total` that this amount takes of any
    /// resource. A resource of which `total` has none counts as 0.
    pub fn dominant_share(&self, total: &Resources) -> f64 {
        let part = |a: u64, b: u64| if b == 0 { 0.0 } else { a as f64 / b as f64 };
        part(self.cpu, total.cpu)
            .max(part(self.memory, total.memory))
            .max(part(self.accelerators.into(), total.accelerators.into()))
    }
}

impl Serialize for Resources {
    fn serialize<S>(&self, serializer: S) -> Result<S::Ok, S::Error>
    where
        S: Serializer,
    {
        let readable = serializer.is_human_readable();
        let mut out = serializer.serialize_struct("Resources", FIELDS.len())?;
        if readable {
            out.serialize_field("cpu", &format!("{}m", self.cpu))?;
            out.serialize_field("memory", &format_bytes(self.memory))?;
        } else {
            out.serialize_field("cpu", &self.cpu)?;
            out.serialize_field("memory", &self.memory)?;
        }
        out.serialize_field("accelerators", &self.accelerators)?;
        out.end()
    }
}

impl<'de> Deserialize<'de> for Resources {
    fn deserialize<D>(deserializer: D) -> Result<Resources, D::Error>
    where
        D: Deserializer<'de>,
    {
        deserializer.deserialize_struct("Resources", &FIELDS, ResourcesVisitor)
    }
}

struct ResourcesVisitor;

impl<'de> Visitor<'de> for ResourcesVisitor {
    type Value = Resources;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("resources: cpu, memory and accelerators")
    }

    fn visit_seq<A>(self, mut seq: A) -> Result<Resources, A::Error>
    where
        A: SeqAccess<'de>,
    {
        let mut next = |i| seq.next_element()?.ok_or_else(|| de::Error::invalid_length(i, &"3"));
        let (cpu, memory) = (next(0)?, next(1)?);
        let accelerators =
            u32::try_from(next(2)?).map_err(|_| de::Error::custom("too many accelerators"))?;
        Ok(Resources { cpu, memory, accelerators })
    }

    fn visit_map<A>(self, mut map: A) -> Result<Resources, A::Error>
    where
        A: MapAccess<'de>,
    {
        let mut out = Resources::default();
        while let Some(key) = map.next_key::<String>()? {
            match key.as_str() {
                "cpu" => out.cpu = map.next_value::<Amount>()?.parse("cpu", parse_cpu)?,
                "memory" => {
                    out.memory = map.next_value::<Amount>()?.parse("memory", parse_bytes)?
                }
                "accelerators" => out.accelerators = map.next_value()?,
                other => return Err(de::Error::unknown_field(other, &FIELDS)),
            }
        }
        Ok(out)
    }
}

/// A number, or text with a unit, kept as text until it is parsed for its field.
struct Amount(String);

impl Amount {
    fn parse<E, F>(&self, field: &str, f: F) -> Result<u64, E>
    where
        E: de::Error,
        F: FnOnce(&str) -> Result<u64, String>,
    {
        f(&self.0).map_err(|cause| E::custom(format!("{field}: {cause}")))
    }
}

impl<'de> Deserialize<'de> for Amount {
    fn deserialize<D>(deserializer: D) -> Result<Amount, D::Error>
    where
        D: Deserializer<'de>,
    {
        deserializer.deserialize_any(AmountVisitor)
    }
}

struct AmountVisitor;

impl Visitor<'_> for AmountVisitor {
    type Value = Amount;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a number, or text with a unit")
    }

    fn visit_u64<E>(self, value: u64) -> Result<Amount, E> {
        Ok(Amount(value.to_string()))
    }

    fn visit_i64<E>(self, value: i64) -> Result<Amount, E> {
        Ok(Amount(value.to_string()))
    }

    fn visit_f64<E>(self, value: f64) -> Result<Amount, E> {
        Ok(Amount(value.to_string()))
    }

    fn visit_str<E>(self, value: &str) -> Result<Amount, E> {
        Ok(Amount(value.to_string()))
    }
}
