//! A deployment whose workers are too few in bursts, with several large callers.

use crate::load::{Burst, Disturbances};
use crate::scenario::{policy, LogNormal, QueueProfile, Scenario};
use jobs::ResourceVector;
use std::time::Duration;

impl Scenario {
    /// A tile plant with 350 small workers, which its usual load fills by four fifths: wide archive
    /// gangs, composites and short cell forecasts. The advice service serves 40 hosts.
    pub fn tile_plant() -> Scenario {
        let leads = Scenario::lead_desk();
        let [matching, sync, quote] = &leads.queues[..] else { unreachable!("three queues") };
        let archive = QueueProfile {
            name: "archive",
            rate: 4.44,
            work_jitter: 0.15,
            cpu: LogNormal::new(4_500.0, 0.4, 7_600.0),
            memory: LogNormal::new(4_500.0, 0.5, 9_100.0),
            poison_probability: 0.0,
            worth: (7.36, 1.47),
            policy: policy(("archive", 1), (2.2, 1_000), (455_000, 6_500), 3),
            ..matching.clone()
        };
        let composite = QueueProfile {
            name: "composite",
            rate: 16.1,
            work_ms: LogNormal::new(2_200.0, 0.5, 5_400.0),
            work_jitter: 0.15,
            estimate_error: 0.9,
            cpu: LogNormal::new(1_700.0, 0.45, 5_200.0),
            memory: LogNormal::new(3_200.0, 0.6, 9_600.0),
            poison_probability: 0.01,
            worth: (2.21, 0.442),
            policy: policy(("composite", 2), (4.0, 3_000), (104_000, 1_430), 4),
            ..sync.clone()
        };
        let cell = QueueProfile {
            name: "cell",
            rate: 66.3,
            width: LogNormal::new(3.2, 0.8, 19.0),
            work_ms: LogNormal::new(1_000.0, 0.5, 2_500.0),
            estimate_error: 0.5,
            cpu: LogNormal::new(2_500.0, 0.45, 7_400.0),
            memory: LogNormal::new(3_600.0, 0.6, 11_000.0),
            poison_probability: 0.01,
            worth: (0.431, 0.0862),
            policy: policy(("cell", 0), (1.5, 300), (14_300, 208), 2),
            ..quote.clone()
        };
        Scenario {
            queues: vec![archive, composite, cell],
            capacity: ResourceVector { cpu: 16_000, memory: 32_768, gpu: 0 },
            workers_per_rack: 8,
            advice_callers: 40,
            arrival_period: Duration::from_secs(41),
            ..leads
        }
    }
}

impl Disturbances {
    /// 2.3 times the usual rate in the second queue for 6 s after 3 s, then 1.5 times the rate in
    /// all queues for 5 s, and the bursts of [`Disturbances::with_bursts`].
    pub fn with_queue_flood() -> Disturbances {
        let s = Duration::from_secs;
        let burst = |queue, at, duration, rate_factor| Burst {
            queue,
            at: s(at),
            duration: s(duration),
            rate_factor,
        };
        let mut all = Disturbances::with_bursts();
        all.bursts.push(burst(1, 3, 6, 2.3));
        all.bursts.extend((0..3).map(|queue| burst(queue, 9, 5, 1.5)));
        all
    }
}
