//! The guarantees of a cell, tested with real processes on loopback: hosts are killed, frozen, cut
//! off and restarted, data directories are wiped, and operators race.

mod support;

use async_std::task::{self, block_on};
use client::Reply;
use futures::future::join_all;
use serde_json::{json, Value};
use std::collections::BTreeMap;
use std::time::Duration;
use support::{apply, ask, is_ready, relay_all, release_version, spec, submit, until, Harness};

const THREE_ZONES: [(&str, usize); 3] = [("a", 1), ("b", 1), ("c", 1)];

fn outcome(reply: &Reply) -> &str {
    reply.header("ebonywalk-outcome").unwrap_or("none")
}

/// Checks that no key ran twice, and that no key ran whose last reported outcome is `not-run`.
fn check_keys(harness: &Harness, reported: &BTreeMap<String, Vec<String>>) {
    let mut ran: BTreeMap<String, u32> = BTreeMap::new();
    for execution in harness.journal.executions() {
        *ran.entry(execution.key.unwrap_or_default()).or_default() += 1;
    }
    for (key, count) in &ran {
        assert!(*count <= 1, "{key} ran {count} times");
    }
    for (key, outcomes) in reported {
        let last = outcomes.last().map(String::as_str);
        assert!(last != Some("not-run") || !ran.contains_key(key), "{key} ran: {outcomes:?}");
    }
}

/// A host that dies while it forwards a request with a key must not cause a second run, neither
/// through the restarted host nor when the caller sends the request again to another host.
#[test]
fn keyed_requests_run_at_most_once_while_hosts_are_killed() {
    block_on(async {
        let mut harness = Harness::new(&THREE_ZONES);
        harness.start().await;
        let upstreams = [harness.upstream("a").await, harness.upstream("b").await];
        for upstream in &upstreams {
            upstream.set_behaviour(standin::Behaviour::Answer(Duration::from_millis(30)));
        }
        let callers: Vec<_> = harness.cell.hosts.iter().map(|h| h.caller_client()).collect();
        until("requests are served", || async {
            let reply = ask(&callers[2], "/warm", None).await?;
            (reply.status == 200).then_some(())
        })
        .await;
        let mut reported: BTreeMap<String, Vec<String>> = BTreeMap::new();
        for round in 0..6 {
            let keys: Vec<String> = (0..10).map(|i| format!("k{round}-{i}")).collect();
            let first = keys.iter().enumerate().map(|(i, key)| {
                let callers = &callers[i % 3];
                async move { ask(callers, &format!("/{key}"), Some(key.as_str())).await }
            });
            let killer = async {
                task::sleep(Duration::from_millis(15)).await;
                // The delay lets the kill come while requests are in flight.
                harness.cell.hosts[round % 3].kill();
            };
            let (replies, ()) = futures::future::join(join_all(first), killer).await;
            harness.cell.hosts[round % 3].start().unwrap();
            until("the host is back", || is_ready(&harness.cell.hosts[round % 3])).await;
            for (key, reply) in keys.iter().zip(replies) {
                let outcome = reply.map_or("lost".to_string(), |r| outcome(&r).to_string());
                reported.entry(key.clone()).or_default().push(outcome);
            }
            // The caller retries each key through another host.
            for (i, key) in keys.iter().enumerate() {
                let path = format!("/{key}");
                let reply = ask(&callers[(i + 1) % 3], &path, Some(key)).await;
                let Some(reply) = reply else { continue };
                if outcome(&reply) == "ran" && reply.status == 200 {
                    assert!(reply.text().starts_with(&path), "{key} got {}", reply.text());
                }
                reported.entry(key.clone()).or_default().push(outcome(&reply).to_string());
            }
        }
        check_keys(&harness, &reported);
        let ran = reported.values().filter(|o| o.iter().any(|o| o == "ran")).count();
        println!("{ran} of {} keys were answered", reported.len());
        assert!(ran * 2 > reported.len(), "most requests are answered in spite of the kills");
    });
}

/// Two release notes based on the same version, sent at once through two hosts, must not both be
/// accepted. The other operator is told the accepted digest, and a resend gets the same answer.
#[test]
fn one_of_two_operators_with_equal_versions_wins() {
    block_on(async {
        let mut harness = Harness::new(&THREE_ZONES);
        harness.start().await;
        let note = |weight: u64| json!({"base": 1, "quotas": [{"team": "t", "weight": weight}]});
        let (one, other) = (note(1), note(2));
        let hosts = &harness.cell.hosts;
        let (first, second) =
            futures::future::join(apply(&hosts[0], "op-1", &one), apply(&hosts[1], "op-2", &other))
                .await;
        let accepted = |outcome: &Value| outcome.pointer("/Accepted/version").is_some();
        assert!(accepted(&first) != accepted(&second), "{first} {second}");
        let (winner, note, answer) =
            if accepted(&first) { ("op-1", &one, &first) } else { ("op-2", &other, &second) };
        let loser = if accepted(&first) { &second } else { &first };
        assert_eq!(loser.pointer("/Conflict/digest"), answer.pointer("/Accepted/digest"));
        assert_eq!(apply(&hosts[2], winner, note).await, *answer, "a resend gets the same answer");
        for host in hosts {
            until("version 2 everywhere", || async {
                (release_version(host).await == Some(2)).then_some(())
            })
            .await;
        }
    });
}

/// Returns the id of the data directory with which a host votes in the cell's group, or `None`
/// unless the host has exactly one member there and that is a voter.
async fn voter_id_in_cell(seen_by: &standin::HostProcess, host: &str) -> Option<u64> {
    let status: Value = seen_by.operator_client().get("/v1/status").await.ok()?;
    let groups = status["groups"].as_array()?;
    let cell = groups.iter().find(|group| group["group"] == "cell")?;
    let members = cell["members"].as_array()?.iter().filter(|m| m["host"] == host);
    let members: Vec<&Value> = members.collect();
    match members[..] {
        [only] if only["role"] == "Voter" => only["id"].as_u64(),
        _ => None,
    }
}

/// A host that missed 500 changes must catch up, and a host that lost its data directory must
/// become a voter again under a new id. Otherwise the loss of one more host would stop the group.
#[test]
fn a_host_that_was_away_for_500_changes_or_lost_its_folder_comes_back() {
    block_on(async {
        let mut harness = Harness::new(&THREE_ZONES);
        harness.start().await;
        harness.cell.host("c-1").kill();
        for version in 1..=500 {
            let note = json!({"base": version, "quotas": [{"team": "t", "weight": version}]});
            let outcome = apply(&harness.cell.hosts[0], &format!("change-{version}"), &note).await;
            assert!(outcome.pointer("/Accepted").is_some(), "{outcome}");
        }
        harness.cell.host("c-1").start().unwrap();
        until("the restarted host has all changes", || async {
            (release_version(&harness.cell.hosts[2]).await == Some(501)).then_some(())
        })
        .await;
        let old = voter_id_in_cell(&harness.cell.hosts[0], "b-1").await;
        harness.cell.host("b-1").kill();
        harness.cell.host("b-1").remove_data().unwrap();
        harness.cell.host("b-1").start().unwrap();
        let hosts = &harness.cell.hosts;
        until("the new data directory votes in the cell's group", || async {
            let new = voter_id_in_cell(&hosts[0], "b-1").await;
            (new.is_some() && new != old).then_some(())
        })
        .await;
        until("the new data directory has all changes", || async {
            (release_version(&hosts[1]).await == Some(501)).then_some(())
        })
        .await;
        // Another host fails right after the repair.
        harness.cell.host("a-1").kill();
        let note = json!({"base": 501, "quotas": [{"team": "t", "weight": 1}]});
        let outcome = apply(&harness.cell.hosts[1], "after", &note).await;
        assert_eq!(outcome.pointer("/Accepted/version"), Some(&json!(502)), "{outcome}");
    });
}

/// Requests in flight, or sent before the balancer has noticed, must be answered when their host is
/// stopped gracefully. All hosts are restarted in turn.
#[test]
fn a_rolling_restart_cuts_no_request_off() {
    block_on(async {
        let mut harness = Harness::new(&THREE_ZONES);
        harness.start().await;
        let upstreams =
            [harness.upstream("a").await, harness.upstream("b").await, harness.upstream("c").await];
        for upstream in &upstreams {
            upstream.set_behaviour(standin::Behaviour::Answer(Duration::from_millis(200)));
        }
        let callers: Vec<_> = harness.cell.hosts.iter().map(|h| h.caller_client()).collect();
        for (i, callers) in callers.iter().enumerate() {
            until("requests are served", || async {
                let reply = ask(callers, &format!("/warm{i}"), None).await?;
                (reply.status == 200).then_some(())
            })
            .await;
        }
        for i in 0..3 {
            // Requests in flight when the drain starts, and requests sent just after it, before a
            // balancer has noticed.
            let load = |from: usize| {
                let callers = callers[i].clone();
                async move {
                    let asked = (from..from + 4).map(|n| {
                        let callers = callers.clone();
                        async move { ask(&callers, &format!("/{i}-{n}"), None).await }
                    });
                    join_all(asked).await
                }
            };
            let before = task::spawn(load(0));
            task::sleep(Duration::from_millis(50)).await;
            let stopping = {
                let client = harness.cell.hosts[i].operator_client();
                task::spawn(async move { client.post::<_, Value>("/v1/drain", &json!(null)).await })
            };
            let after = task::spawn(load(4));
            let replies: Vec<_> = before.await.into_iter().chain(after.await).collect();
            for reply in replies {
                let reply = reply.expect("connection closed without an answer");
                assert_eq!((reply.status, outcome(&reply)), (200, "ran"), "{}", reply.text());
            }
            stopping.await.unwrap();
            assert_eq!(harness.cell.hosts[i].stop().unwrap(), Some(0), "graceful stop");
            harness.cell.hosts[i].start().unwrap();
            until("the host is back", || is_ready(&harness.cell.hosts[i])).await;
        }
    });
}

/// A leader that was frozen past its lease, or a worker that is cut off, must not lead to two live
/// runs of one task.
#[test]
fn a_task_runs_in_one_place_when_leaders_freeze_and_workers_are_cut_off() {
    block_on(async {
        let mut harness = Harness::new(&[("a", 2), ("b", 1)]);
        harness.start().await;
        let workers =
            [harness.worker("a", "w1"), harness.worker("a", "w2"), harness.worker("a", "w3")];
        submit(&harness.cell.hosts[0], &spec("desk", "service", 4, "a", &["serve"])).await;
        let runs = |at_least: usize| {
            let journal = harness.journal.clone();
            move || {
                let live = journal.runs_of("planning/desk");
                let live = live.iter().filter(|run| run.ended.is_none()).count();
                async move { (live >= at_least).then_some(()) }
            }
        };
        until("all tasks run", runs(4)).await;
        workers[0].disconnect();
        for i in [0, 1] {
            harness.cell.hosts[i].pause().unwrap();
            // Longer than a lease and an election.
            task::sleep(Duration::from_secs(6)).await;
            harness.cell.hosts[i].resume().unwrap();
            task::sleep(Duration::from_secs(1)).await;
        }
        until("all tasks run again", runs(4)).await;
        assert_eq!(harness.journal.overlapping_runs(), []);
    });
}

/// A zone that is cut off from the others must keep serving requests and running jobs inside, keep
/// its release, and take over the newer release once it is connected again.
#[test]
fn a_zone_cut_off_serves_what_it_can_and_joins_again() {
    block_on(async {
        let mut harness = Harness::new(&THREE_ZONES);
        let relays = relay_all(&harness.cell).await;
        harness.start().await;
        let _upstream = harness.upstream("a").await;
        let worker = harness.worker("a", "w1");
        let inside = harness.cell.hosts[0].caller_client();
        until("requests are served", || async {
            (ask(&inside, "/warm", None).await?.status == 200).then_some(())
        })
        .await;
        relays.iter().filter(|(f, t, _)| f == "a-1" || t == "a-1").for_each(|(.., r)| r.cut());
        let note = json!({"base": 1, "quotas": [{"team": "t", "weight": 3}]});
        let answer = apply(&harness.cell.hosts[1], "outside", &note).await;
        assert_eq!(answer.pointer("/Accepted/version"), Some(&json!(2)), "{answer}");
        for n in 0..5 {
            let key = format!("a:{n}");
            let reply = ask(&inside, "/inside", Some(&key)).await.expect("an answer");
            assert_eq!((reply.status, outcome(&reply)), (200, "ran"), "{}", reply.text());
        }
        submit(&harness.cell.hosts[0], &spec("inside", "batch", 2, "a", &["run", "0.1"])).await;
        until("jobs inside still run", || async {
            (harness.journal.runs_of("planning/inside").len() == 2).then_some(())
        })
        .await;
        assert_eq!(release_version(&harness.cell.hosts[0]).await, Some(1));
        relays.iter().for_each(|(.., relay)| relay.restore());
        until("the release is in force inside", || async {
            (release_version(&harness.cell.hosts[0]).await == Some(2)).then_some(())
        })
        .await;
        assert_eq!(harness.journal.overlapping_runs(), []);
        worker.kill();
    });
}
