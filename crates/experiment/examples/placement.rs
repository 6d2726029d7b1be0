//! Prints the waiting times, met deadlines, utilization and planning cost of each policy. An
//! argument limits the output to the workloads whose name contains it.

use experiment::{
    easy_backfill, first_fit_fifo, planner, random_fit, simulate, Outcome, Workload,
    WorkloadBuilder,
};
use hdrhistogram::Histogram;
use placement::Policy;
use std::time::Duration;

fn main() {
    let only: Option<String> = std::env::args().nth(1);
    for workload in workloads() {
        if only.as_ref().is_some_and(|name| !workload.name.contains(name.as_str())) {
            continue;
        }
        let tasks: u64 = workload.jobs.iter().map(|job| u64::from(job.tasks)).sum();
        println!(
            "\n## {}: {} workers, {} jobs, {tasks} tasks, {:?}\n",
            workload.name,
            workload.workers,
            workload.jobs.len(),
            workload.horizon
        );
        println!(
            "| policy | urgent p50/p99/max s | service p99 s | batch p50/p99 s | together p50/p99 s \
             | in time | packing | stopped (lost s) | decision p99 µs | placements/s |"
        );
        println!("|---|---|---|---|---|---|---|---|---|---|");
        let (capacity, count) = (workload.worker_capacity, workload.workers);
        let with_policy =
            |name, policy| planner(name, policy, capacity, count, workload.workers_per_rack);
        let mut schedulers = vec![
            with_policy("waiting-first", Policy::waiting_first()),
            with_policy("packing-first", Policy::packing_first()),
            first_fit_fifo(capacity, count),
        ];
        // These policies scan all workers for every task, which takes too long on large workloads.
        if count <= 2_000 {
            schedulers.push(random_fit(capacity, count));
            schedulers.push(easy_backfill(capacity, count));
        }
        for scheduler in schedulers {
            print_row(&simulate(&workload, scheduler));
        }
    }
}

fn workloads() -> Vec<Workload> {
    let hour = Duration::from_secs(3_600);
    vec![
        WorkloadBuilder::new("enlaces", 50).load(1.05).job_mix(0.10, 0.05).seed(71).build(),
        WorkloadBuilder::new("zeitwerk", 50)
            .cores(60)
            .load(1.05)
            .service_share(0.1)
            .job_mix(0.02, 0.15)
            .mean_run_time(120.0)
            .seed(72)
            .build(),
        WorkloadBuilder::new("zone-of-two-years", 1_450)
            .accelerators(2)
            .load(0.95)
            .teams(130)
            .mean_run_time(60.0)
            .horizon(hour / 4)
            .seed(73)
            .build(),
        WorkloadBuilder::new("whole-of-two-years", 16_000)
            .accelerators(2)
            .load(0.95)
            .teams(130)
            .mean_run_time(60.0)
            .horizon(hour / 12)
            .seed(74)
            .build(),
        WorkloadBuilder::new("cost-1000", 1_000).load(0.9).horizon(hour / 12).seed(75).build(),
        WorkloadBuilder::new("cost-4000", 4_000).load(0.9).horizon(hour / 12).seed(75).build(),
        WorkloadBuilder::new("cost-16000", 16_000).load(0.9).horizon(hour / 12).seed(75).build(),
    ]
}

fn seconds(histogram: &Histogram<u64>, quantile: f64) -> String {
    if histogram.is_empty() {
        return "-".to_string();
    }
    format!("{:.2}", histogram.value_at_quantile(quantile) as f64 / 1_000.0)
}

fn print_row(o: &Outcome) {
    let s = seconds;
    println!(
        "| {} | {}/{}/{} | {} | {}/{} | {}/{} | {}/{} | {:.1}% | {} ({:.0}) | {:.1} | {:.0} |",
        o.policy,
        s(&o.urgent, 0.5),
        s(&o.urgent, 0.99),
        s(&o.urgent, 1.0),
        s(&o.services, 0.99),
        s(&o.batch, 0.5),
        s(&o.batch, 0.99),
        s(&o.all_at_once, 0.5),
        s(&o.all_at_once, 0.99),
        o.on_time.0,
        o.on_time.1,
        o.utilization * 100.0,
        o.preempted.0,
        o.preempted.1,
        o.decision_time.value_at_quantile(0.99) as f64 / 1_000.0,
        o.placements as f64 / o.planning_time.as_secs_f64().max(1e-9),
    );
}
