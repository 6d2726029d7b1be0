//! Amounts of resources of staged jobs and their workers.

use serde::{Deserialize, Serialize};

/// An amount of each resource that a worker provides or a task needs.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ResourceVector {
    /// CPU, in thousandths of a core.
    pub cpu: u64,
    /// Memory, in MiB.
    pub memory: u64,
    /// Number of GPU devices.
    pub gpu: u64,
}

impl ResourceVector {
    /// Whether `free` covers this amount of every resource.
    ///
    /// ```
    /// let need = types::ResourceVector { cpu: 500, ..types::ResourceVector::default() };
    /// assert!(need.fits_in(&types::ResourceVector { cpu: 500, memory: 1, gpu: 0 }));
    /// ```
    pub fn fits_in(&self, free: &ResourceVector) -> bool {
        self.cpu <= free.cpu && self.memory <= free.memory && self.gpu <= free.gpu
    }

    /// The sum of both amounts, saturating for each resource.
    ///
    /// ```
    /// let most = types::ResourceVector { cpu: u64::MAX, ..types::ResourceVector::default() };
    /// assert_eq!(most.plus(&most), most);
    /// ```
    pub fn plus(&self, other: &ResourceVector) -> ResourceVector {
        ResourceVector {
            cpu: self.cpu.saturating_add(other.cpu),
            memory: self.memory.saturating_add(other.memory),
            gpu: self.gpu.saturating_add(other.gpu),
        }
    }

    /// This amount for each of `count` tasks, saturating for each resource.
    ///
    /// ```
    /// let need = types::ResourceVector { cpu: 500, ..types::ResourceVector::default() };
    /// assert_eq!(need.times(3).cpu, 1_500);
    /// ```
    pub fn times(&self, count: u32) -> ResourceVector {
        let count = u64::from(count);
        ResourceVector {
            cpu: self.cpu.saturating_mul(count),
            memory: self.memory.saturating_mul(count),
            gpu: self.gpu.saturating_mul(count),
        }
    }

    /// The difference of both amounts, saturating at zero for each resource.
    pub fn minus(&self, other: &ResourceVector) -> ResourceVector {
        ResourceVector {
            cpu: self.cpu.saturating_sub(other.cpu),
            memory: self.memory.saturating_sub(other.memory),
            gpu: self.gpu.saturating_sub(other.gpu),
        }
    }

    /// How many times this amount fits into `free`.
    pub fn count_in(&self, free: &ResourceVector) -> u32 {
        let each = |need: u64, have: u64| have.checked_div(need).unwrap_or(u64::MAX);
        let count = each(self.cpu, free.cpu)
            .min(each(self.memory, free.memory))
            .min(each(self.gpu, free.gpu));
        u32::try_from(count).unwrap_or(u32::MAX)
    }
}
