//! What the leader tells operators about its use of the advice service.

use crate::leader::Leader;
use crate::node::Node;
use dispatch::{AdviceUsage, CallReason};
use jobs::State;
use std::time::Duration;
use types::Timestamp;

/// Interval between two reports in the log.
const REPORT_INTERVAL: Duration = Duration::from_secs(10);

impl Node {
    /// Use of the advice service in this term, by name of the queue; empty on other hosts than the
    /// leader.
    pub fn advice_usage(&self) -> Vec<(String, AdviceUsage)> {
        let Some(group) = &self.group else { return Vec::new() };
        let Some(leader) = &group.leader else { return Vec::new() };
        let name = |queue| group.state.policy(queue).name.clone();
        leader.advice.usage().map(|(queue, usage)| (name(queue), *usage)).collect()
    }

    /// Logs the use of the advice service so far, by queue, if a report is due.
    pub(crate) fn report_advice(&mut self) {
        let now = self.now;
        let Some(group) = &mut self.group else { return };
        let Some(leader) = &mut group.leader else { return };
        leader.report_advice(&group.state, now);
    }
}

impl Leader {
    /// Use of the advice service in this term, over all queues.
    pub(crate) fn advice_usage(&self) -> AdviceUsage {
        self.advice.usage().fold(AdviceUsage::default(), |mut sum, (_, usage)| {
            sum.add(usage);
            sum
        })
    }

    fn report_advice(&mut self, state: &State, now: Timestamp) {
        if now < self.next_advice_report {
            return;
        }
        self.next_advice_report = now + REPORT_INTERVAL;
        for (queue, usage) in self.advice.usage() {
            let calls = |reason: CallReason| usage.calls[reason as usize].calls;
            let total = usage.total();
            log::info!(queue = state.policy(queue).name.as_str(),
                first = calls(CallReason::First), more = calls(CallReason::MoreWorkers),
                renewals = calls(CallReason::Renewal), workers = total.workers,
                service_ms = total.time.as_millis() as u64,
                in_line_ms = total.in_line.as_millis() as u64, failed = usage.failed,
                too_late = usage.too_late, tickets = usage.tickets, used = usage.used;
                "use of the advice service in this term");
        }
    }
}
