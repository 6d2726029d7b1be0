//! What can be known at submission: that a job can never run or never end in time.

use crate::reservation::copies;
use std::time::Duration;
use types::{JobClass, JobSpec, Resources};

/// What a zone could hold if it were empty.
#[derive(Clone, Debug, Default)]
pub struct ZoneCapacity {
    /// Capacity of each worker that is not lost.
    pub workers: Vec<Resources>,
}

/// Refuses a job that could not run, or not end in time, even in an empty zone. The error names
/// field and cause.
///
/// ```
/// # use types::*;
/// # let spec = JobSpec {
/// #     team: "lab".into(), name: "big".into(), class: JobClass::Batch, tasks: 1,
/// #     resources: Resources { cpu: 9_000, memory: 1, accelerators: 0 }, command: vec![],
/// #     run_time: None, deadline: None, urgent: false, unrepeatable: false, zone: None,
/// # };
/// let zone = placement::ZoneCapacity {
///     workers: vec![Resources { cpu: 8_000, memory: 1 << 30, accelerators: 0 }],
/// };
/// let cause = placement::admit(&spec, &zone).unwrap_err();
/// assert_eq!(cause, "resources.cpu: asks for 9000m, the largest worker has 8000m");
/// ```
pub fn admit(spec: &JobSpec, cell: &ZoneCapacity) -> Result<(), String> {
    // Before any worker has come there is nothing to compare with.
    if cell.workers.is_empty() {
        return Ok(());
    }
    let slots: u64 = cell.workers.iter().map(|w| copies(&spec.resources, w)).sum();
    if slots == 0 {
        return Err(too_large(&spec.resources, &cell.workers));
    }
    if spec.class == JobClass::AllAtOnce && u64::from(spec.tasks) > slots {
        return Err(format!(
            "tasks: {} can't start together, an empty zone holds {slots} of them",
            spec.tasks
        ));
    }
    let (Some(run_time), Some(deadline)) = (spec.run_time, spec.deadline) else { return Ok(()) };
    let rounds = u64::from(spec.tasks).div_ceil(slots);
    let shortest = run_time.saturating_mul(u32::try_from(rounds).unwrap_or(u32::MAX));
    if shortest > deadline {
        return Err(format!(
            "deadline: {deadline:?} is too short, an empty zone needs {shortest:?} in {rounds} rounds"
        ));
    }
    Ok(())
}

fn too_large(need: &Resources, workers: &[Resources]) -> String {
    let largest = workers.iter().fold(Resources::default(), |max, w| max.max(w));
    if need.cpu > largest.cpu {
        format!("resources.cpu: asks for {}m, the largest worker has {}m", need.cpu, largest.cpu)
    } else if need.memory > largest.memory {
        format!(
            "resources.memory: asks for {}, the largest worker has {}",
            types::quantity::format_bytes(need.memory),
            types::quantity::format_bytes(largest.memory)
        )
    } else if need.accelerators > largest.accelerators {
        format!(
            "resources.accelerators: asks for {}, the largest worker has {}",
            need.accelerators, largest.accelerators
        )
    } else {
        "resources: no single worker has all that is asked for".to_string()
    }
}

/// How long a run may take beyond its estimate before it counts as having none.
pub(crate) const OVERRUN_GRACE: Duration = Duration::from_secs(60);
