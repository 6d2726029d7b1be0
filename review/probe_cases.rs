//! The cases.

use crate::cell::Cell;
use crate::worker::CPU;
use crate::Verdict;
use crate::{note, now_ms};
use std::thread;
use std::time::{Duration, Instant};

pub fn run(case: &str, trouble: bool) -> Verdict {
    let result = match case {
        "crashes" => crashes(trouble),
        "drain" => drain(trouble),
        "cancel" => cancel(trouble),
        "goodbye" => goodbye(trouble),
        "stray" => stray(trouble),
        "large" => large(trouble),
        "held" => held(trouble),
        _ => Err(format!("there is no case {case}")),
    };
    result.unwrap_or_else(Verdict::CouldNotRun)
}

fn sleep_ms(ms: u64) {
    thread::sleep(Duration::from_millis(ms));
}

/// A job with one step of single tasks. The spec names how long each task takes.
fn job(count: u32, cpu: u64, lasts_ms: u64) -> String {
    format!(
        "{{\"spec\":\"{lasts_ms} ms\",\"steps\":[{{\"count\":{count},\"cpu\":{cpu},\"memMb\":256,\
         \"estimateMs\":{lasts_ms}}}]}}"
    )
}

/// Waits until `f` returns something.
fn wait_for<T>(limit_ms: u64, mut f: impl FnMut() -> Option<T>) -> Option<T> {
    let began = Instant::now();
    while began.elapsed() < Duration::from_millis(limit_ms) {
        if let Some(found) = f() {
            return Some(found);
        }
        sleep_ms(10);
    }
    None
}

/// The worker that runs the task of a long-running job crashes, three times in a row. No run of the
/// task ends `failed`.
fn crashes(trouble: bool) -> Result<Verdict, String> {
    let cell = Cell::start(4)?;
    let workers = cell.workers(8);
    let id = "00000000000000a1";
    let body = job(1, 2_000, 3_600_000).replace("\"count\"", "\"longRunning\":true,\"count\"");
    cell.submit(id, &body)?;
    for round in 1..=3 {
        let started = wait_for(20_000, || cell.log.starts(id).into_iter().nth(round - 1));
        let started = started.ok_or(format!("run {round} of the task did not start"))?;
        sleep_ms(4_000);
        if trouble {
            let found = workers.iter().find(|w| w.name == started.worker);
            let worker = found.ok_or("no such worker")?;
            worker.crash();
            sleep_ms(4_500);
            worker.begin(&format!("i-{}-{}", worker.name, round + 1));
        } else {
            sleep_ms(4_500);
            break;
        }
    }
    // A task that lasts is to run again within 6 s and 3 s more.
    sleep_ms(9_500);
    let events: Vec<_> = cell.log.all().into_iter().filter(|e| e.task.starts_with(id)).collect();
    let failed = events.iter().filter(|e| e.what == "failed").count();
    let running = events.last().is_some_and(|e| e.what == "start");
    let state = cell.state(1, id);
    note(&format!("state: {state:?}; running: {running}; runs that ended `failed`: {failed}"));
    Ok(match state.as_deref() {
        Some("running") if running => Verdict::Held,
        state => Verdict::Broken(format!(
            "LOST: nobody has cancelled the long-running job, {failed} of its runs ended `failed`, \
             and it is shown as {state:?}; a task of it runs: {running}"
        )),
    })
}

/// A worker leaves three start orders unanswered, which come for one run, and begins to drain after
/// the first.
fn drain(trouble: bool) -> Result<Verdict, String> {
    let cell = Cell::start(4)?;
    let workers = cell.workers(6);
    // Usual load: small jobs on all workers.
    for n in 0..100u64 {
        cell.submit(&format!("{:016x}", 0x1000 + n), &job(5, 500, 400))?;
        sleep_ms(20);
    }
    let id = "00000000000000d1";
    if trouble {
        workers.iter().for_each(|worker| worker.be_late(id, 3));
    }
    cell.submit(id, &job(1, 500, 1_500))?;
    let chosen = wait_for(3_000, || {
        let by_order = workers.iter().find(|w| w.orders_left_unanswered() > 0).cloned();
        let starts = cell.log.starts(id);
        by_order
            .or_else(|| workers.iter().find(|w| starts.iter().any(|e| e.worker == w.name)).cloned())
    });
    let leaver = chosen.ok_or("the task was sent to no worker")?;
    workers.iter().filter(|w| w.name != leaver.name).for_each(|w| w.be_late("", 0));
    sleep_ms(300);
    let drained_at = leaver.drain().ok_or("the draining was not acknowledged")?;
    sleep_ms(12_000);
    let orders = leaver.orders();
    let unanswered = leaver.orders_left_unanswered();
    note(&format!("{}: {unanswered} of {orders} orders were left unanswered", leaver.name));
    let late = cell.log.starts("").into_iter().filter(|e| e.worker == leaver.name);
    let late: Vec<_> = late.filter(|e| e.at > drained_at + 2_000).collect();
    Ok(match late.first() {
        None => Verdict::Held,
        Some(e) => Verdict::Broken(format!(
            "DRAIN: {} starts {} {} ms after it was acknowledged that the worker drains",
            e.worker,
            e.task,
            e.at - drained_at
        )),
    })
}

/// A worker leaves and comes back under its name. Its goodbye to a frozen machine is read when it is
/// about to leave again.
fn goodbye(trouble: bool) -> Result<Verdict, String> {
    let cell = Cell::start(4)?;
    let workers = cell.workers(16);
    let leader = cell.leader();
    let follower = (leader + 1) % 3;
    let control = cell.control();
    // It talks to another machine than the frozen one at first.
    let worker = workers.iter().find(|w| w.first_host() != control[follower]);
    let worker = worker.ok_or("all workers talk to one machine")?;
    worker.drain().ok_or("the draining was not acknowledged")?;
    sleep_ms(2_000);
    let began = Instant::now();
    if trouble {
        cell.core[follower].signal("STOP");
    }
    worker.leave(&[control[follower], control[leader]]);
    // Its address is used again after `reuseAfterS`.
    sleep_ms(2_000);
    worker.begin(&format!("i-{}-1", worker.name));
    worker.beat_until_acknowledged().ok_or("the new life was not acknowledged")?;
    sleep_ms(600);
    // Short tasks fill the others, two on each, so that the long one finds its place here.
    cell.submit("00000000000000e1", &job(30, CPU / 2, 1_000))?;
    wait_for(2_000, || (cell.log.starts("00000000000000e1").len() == 30).then_some(()));
    cell.submit("00000000000000e2", &job(1, CPU / 2, 8_000))?;
    sleep_ms(200);
    let runs = cell.log.starts("").iter().filter(|e| e.worker == worker.name).count();
    worker.drain().ok_or("the draining was not acknowledged")?;
    let left = Duration::from_millis(6_000).saturating_sub(began.elapsed());
    note(&format!("{runs} runs on {}; {} ms are left", worker.name, left.as_millis()));
    thread::sleep(left);
    if trouble {
        cell.core[follower].signal("CONT");
    }
    sleep_ms(5_000);
    Ok(judge_doubles(&cell))
}

/// Another writer sends one heartbeat that names a service that isn't configured.
fn stray(trouble: bool) -> Result<Verdict, String> {
    let cell = Cell::start(4)?;
    let workers = cell.workers(6);
    for n in 0..3u64 {
        let body = job(5, 500, 8_000).replace("\"memMb\"", "\"maxPerServer\":1,\"memMb\"");
        cell.submit(&format!("{:016x}", 0xf000 + n), &body)?;
    }
    sleep_ms(1_000);
    let starts = cell.log.starts("");
    let busy = workers.iter().find(|w| starts.iter().any(|e| e.worker == w.name));
    let busy = busy.ok_or("no worker runs anything")?;
    if trouble {
        let body = busy.heartbeat_of("audit");
        let addr = cell.control()[cell.leader()];
        let second = Duration::from_secs(1);
        let answer =
            crate::http::call(addr, "PUT", "/api/instances/agent-7", "control", &body, second);
        note(&format!("another writer: PUT /api/instances/agent-7 {body} -> {answer:?}"));
    }
    sleep_ms(6_000);
    Ok(judge_doubles(&cell))
}

/// Four jobs with very many tasks come at once.
fn large(trouble: bool) -> Result<Verdict, String> {
    const LIMIT_MB: u64 = 256;
    let mut cell = Cell::start(4)?;
    let _workers = cell.workers(6);
    cell.submit("00000000000000b1", &job(2, 500, 2_000))?;
    let step = "{\"count\":10000,\"cpu\":1000,\"memMb\":100,\"estimateMs\":1000}";
    let steps = vec![step; 256].join(",");
    let body = format!("{{\"spec\":\"1000 ms\",\"steps\":[{steps}]}}");
    let mut accepted = 0;
    if trouble {
        for n in 0..4u64 {
            accepted += u32::from(cell.submit(&format!("{:016x}", 0xb100 + n), &body).is_ok());
        }
    }
    note(&format!("{accepted} large jobs of {} bytes were accepted", body.len()));
    let mut kills = [0; 3];
    let began = Instant::now();
    while began.elapsed() < Duration::from_secs(40) {
        for (i, machine) in cell.core.iter_mut().enumerate() {
            let memory = machine.memory_mb();
            if memory > LIMIT_MB {
                note(&format!(
                    "{}: {memory} MB of {LIMIT_MB}, killed by the platform",
                    machine.name
                ));
                kills[i] += 1;
                machine.restart();
            }
        }
        sleep_ms(100);
    }
    note(&format!("kills of the core machines: {kills:?}"));
    let _ = cell.state(0, "00000000000000b1");
    let looping = kills.iter().filter(|n| **n >= 3).count();
    Ok(if 2 * looping >= kills.len() {
        Verdict::Broken(format!(
            "Fault: {looping} of {} core machines end three times or more, {kills:?} times in 40 s",
            kills.len()
        ))
    } else {
        Verdict::Held
    })
}

/// A worker is lost for good, without a word, half a second before the end of the traffic.
fn held(trouble: bool) -> Result<Verdict, String> {
    let cell = Cell::start(4)?;
    let workers = cell.workers(8);
    let mut ids = Vec::new();
    let mut lost = None;
    let began = Instant::now();
    while began.elapsed() < Duration::from_millis(3_000) {
        if lost.is_none() && began.elapsed() >= Duration::from_millis(2_500) {
            let recent = cell.log.starts("").into_iter().filter(|e| e.at + 1_000 > now_ms());
            let recent: Vec<String> = recent.map(|e| e.worker).collect();
            let starts = |name: &str| recent.iter().filter(|w| *w == name).count();
            let busiest = workers.iter().max_by_key(|w| starts(&w.name)).ok_or("no workers")?;
            note(&format!("{}: {} starts in the last second", busiest.name, starts(&busiest.name)));
            if trouble {
                busiest.go_dark();
            }
            lost = Some(busiest.name.clone());
        }
        let id = format!("{:016x}", 0xa000 + ids.len());
        cell.submit(&id, &job(12, 100, 300))?;
        ids.push(id);
        sleep_ms(20);
    }
    note(&format!("the traffic has ended; {} jobs were accepted", ids.len()));
    let end = now_ms();
    thread::sleep(Duration::from_millis((end + 14_000).saturating_sub(now_ms())));
    let open = |ids: &[String]| -> Vec<String> {
        let is_open = |id: &&String| cell.state(1, id).is_none_or(|state| state != "complete");
        ids.iter().filter(is_open).cloned().collect()
    };
    let waiting = open(&ids);
    let from = now_ms();
    sleep_ms(3_100);
    let waiting = open(&waiting);
    let idle = |id: &&String| {
        let events: Vec<_> =
            cell.log.all().into_iter().filter(|e| e.task.starts_with(id.as_str())).collect();
        let starts = events.iter().filter(|e| e.what == "start").count();
        let ends = events.iter().filter(|e| e.what != "start").count();
        starts == ends && events.iter().all(|e| e.at < from)
    };
    let stuck: Vec<&String> = waiting.iter().filter(idle).collect();
    for id in &stuck {
        note(&format!("{id}: not complete, and no run of it in the last 3 s"));
    }
    sleep_ms(4_000);
    let later = open(&waiting);
    note(&format!("4 s later {} of these are not complete", later.len()));
    Ok(match stuck.first() {
        None => Verdict::Held,
        Some(id) => Verdict::Broken(format!(
            "LOST: {} jobs, among them {id}, have nothing running for 3 s, 14 s after the end of the \
             traffic, with seven workers idle",
            stuck.len()
        )),
    })
}

fn judge_doubles(cell: &Cell) -> Verdict {
    let doubles = cell.log.doubles();
    for (second, both) in &doubles {
        note(&format!("{} runs twice for {both} ms, the second on {}", second.task, second.worker));
    }
    match doubles.first() {
        None => Verdict::Held,
        Some((second, both)) => Verdict::Broken(format!(
            "TWICE: {} tasks run twice at the same time, the first of them {} for {both} ms",
            doubles.len(),
            second.task
        )),
    }
}

/// A caller gives up on a front machine that is frozen, and cancels the job at another one.
fn cancel(trouble: bool) -> Result<Verdict, String> {
    let cell = Cell::start(4)?;
    let _workers = cell.workers(6);
    let id = "00000000000000c1";
    if trouble {
        cell.front[0].signal("STOP");
    }
    let path = format!("{}{id}", crate::cell::PREFIX);
    let limit = Duration::from_millis(500);
    let body = job(1, 1_000, 3_000);
    let sent =
        crate::http::send(cell.front_addr(0), "POST", &path, crate::cell::HOST, &body, limit);
    let mut stream = sent.map_err(|e| format!("sending: {e}"))?;
    let answer = crate::http::receive(&mut stream, limit);
    note(&format!("caller: POST {id} at front 0 -> {answer:?}"));
    drop(stream);
    let (status, _) = cell.ask(1, "DELETE", id, "").ok_or("the DELETE has no answer")?;
    let acked_at = now_ms();
    if !(status == 410 || (200..300).contains(&status)) {
        return Err(format!("the DELETE was answered {status}"));
    }
    // The freeze lasts 4 s.
    sleep_ms(3_490);
    if trouble {
        cell.front[0].signal("CONT");
    }
    sleep_ms(6_000);
    let late: Vec<_> =
        cell.log.starts(id).into_iter().filter(|e| e.at > acked_at + 3_000).collect();
    Ok(match late.first() {
        None => Verdict::Held,
        Some(e) => Verdict::Broken(format!(
            "UNASKED: the task starts {} ms after the cancelling was acknowledged",
            e.at - acked_at
        )),
    })
}
