//! The promises with real processes on loopback: kills, freezes, cuts, wiped folders, races.

mod support;

use async_std::task::{self, block_on};
use client::Reply;
use futures::future::join_all;
use serde_json::{json, Value};
use std::collections::BTreeMap;
use std::time::Duration;
use support::{apply, ask, is_ready, relay_all, release_version, spec, submit, until, Lab};

const THREE_ZONES: [(&str, usize); 3] = [("a", 1), ("b", 1), ("c", 1)];

fn outcome(reply: &Reply) -> &str {
    reply.header("ebonywalk-outcome").unwrap_or("none")
}

/// No key ran twice, and whatever was said not to have run did not.
fn check_keys(lab: &Lab, said: &BTreeMap<String, Vec<String>>) {
    let mut ran: BTreeMap<String, u32> = BTreeMap::new();
    for execution in lab.journal.executions() {
        *ran.entry(execution.key.unwrap_or_default()).or_default() += 1;
    }
    for (key, count) in &ran {
        assert!(*count <= 1, "{key} ran {count} times");
    }
    for (key, outcomes) in said {
        let last = outcomes.last().map(String::as_str);
        assert!(last != Some("not-run") || !ran.contains_key(key), "{key} ran: {outcomes:?}");
    }
}

#[test]
fn keyed_requests_run_at_most_once_while_hosts_are_killed() {
    block_on(async {
        let mut lab = Lab::new(&THREE_ZONES);
        lab.start().await;
        let upstreams = [lab.upstream("a").await, lab.upstream("b").await];
        for upstream in &upstreams {
            upstream.set_behaviour(standin::Behaviour::Answer(Duration::from_millis(30)));
        }
        let callers: Vec<_> = lab.cell.hosts.iter().map(|h| h.caller_client()).collect();
        until("requests are served", || async {
            let reply = ask(&callers[2], "/warm", None).await?;
            (reply.status == 200).then_some(())
        })
        .await;
        let mut said: BTreeMap<String, Vec<String>> = BTreeMap::new();
        for round in 0..6 {
            let keys: Vec<String> = (0..10).map(|i| format!("k{round}-{i}")).collect();
            let first = keys.iter().enumerate().map(|(i, key)| {
                let callers = &callers[i % 3];
                async move { ask(callers, &format!("/{key}"), Some(key.as_str())).await }
            });
            let killer = async {
                task::sleep(Duration::from_millis(15)).await;
                // Not awaited by the requests: it falls among them.
                lab.cell.hosts[round % 3].kill();
            };
            let (replies, ()) = futures::future::join(join_all(first), killer).await;
            lab.cell.hosts[round % 3].start().unwrap();
            until("the host is back", || is_ready(&lab.cell.hosts[round % 3])).await;
            for (key, reply) in keys.iter().zip(replies) {
                let outcome = reply.map_or("lost".to_string(), |r| outcome(&r).to_string());
                said.entry(key.clone()).or_default().push(outcome);
            }
            // The same again through another host.
            for (i, key) in keys.iter().enumerate() {
                let path = format!("/{key}");
                let reply = ask(&callers[(i + 1) % 3], &path, Some(key)).await;
                let Some(reply) = reply else { continue };
                if outcome(&reply) == "ran" && reply.status == 200 {
                    assert!(reply.text().starts_with(&path), "{key} got {}", reply.text());
                }
                said.entry(key.clone()).or_default().push(outcome(&reply).to_string());
            }
        }
        check_keys(&lab, &said);
        let ran = said.values().filter(|o| o.iter().any(|o| o == "ran")).count();
        println!("{ran} of {} keys were answered", said.len());
        assert!(ran * 2 > said.len(), "most requests are answered in spite of it");
    });
}

#[test]
fn one_of_two_operators_with_equal_versions_wins() {
    block_on(async {
        let mut lab = Lab::new(&THREE_ZONES);
        lab.start().await;
        let note = |weight: u64| json!({"base": 1, "quotas": [{"team": "t", "weight": weight}]});
        let (one, other) = (note(1), note(2));
        let hosts = &lab.cell.hosts;
        let (first, second) =
            futures::future::join(apply(&hosts[0], "op-1", &one), apply(&hosts[1], "op-2", &other))
                .await;
        let accepted = |outcome: &Value| outcome.pointer("/Accepted/version").is_some();
        assert!(accepted(&first) != accepted(&second), "{first} {second}");
        let (winner, note, told) =
            if accepted(&first) { ("op-1", &one, &first) } else { ("op-2", &other, &second) };
        let loser = if accepted(&first) { &second } else { &first };
        assert_eq!(loser.pointer("/Conflict/digest"), told.pointer("/Accepted/digest"));
        assert_eq!(apply(&hosts[2], winner, note).await, *told, "a resend hears the same");
        for host in hosts {
            until("version 2 everywhere", || async {
                (release_version(host).await == Some(2)).then_some(())
            })
            .await;
        }
    });
}

/// Identity of the folder with which a host votes in the cell's group, once it is the only one.
async fn folder_in_cell(seen_by: &standin::HostProcess, host: &str) -> Option<u64> {
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

#[test]
fn a_host_that_was_away_for_500_changes_or_lost_its_folder_comes_back() {
    block_on(async {
        let mut lab = Lab::new(&THREE_ZONES);
        lab.start().await;
        lab.cell.host("c-1").kill();
        for version in 1..=500 {
            let note = json!({"base": version, "quotas": [{"team": "t", "weight": version}]});
            let outcome = apply(&lab.cell.hosts[0], &format!("change-{version}"), &note).await;
            assert!(outcome.pointer("/Accepted").is_some(), "{outcome}");
        }
        lab.cell.host("c-1").start().unwrap();
        until("it has all changes", || async {
            (release_version(&lab.cell.hosts[2]).await == Some(501)).then_some(())
        })
        .await;
        let old = folder_in_cell(&lab.cell.hosts[0], "b-1").await;
        lab.cell.host("b-1").kill();
        lab.cell.host("b-1").remove_data().unwrap();
        lab.cell.host("b-1").start().unwrap();
        let hosts = &lab.cell.hosts;
        until("the new folder votes in the cell's group", || async {
            let new = folder_in_cell(&hosts[0], "b-1").await;
            (new.is_some() && new != old).then_some(())
        })
        .await;
        until("the new folder has all changes", || async {
            (release_version(&hosts[1]).await == Some(501)).then_some(())
        })
        .await;
        // A second loss right after the repair.
        lab.cell.host("a-1").kill();
        let note = json!({"base": 501, "quotas": [{"team": "t", "weight": 1}]});
        let outcome = apply(&lab.cell.hosts[1], "after", &note).await;
        assert_eq!(outcome.pointer("/Accepted/version"), Some(&json!(502)), "{outcome}");
    });
}

#[test]
fn a_rolling_restart_cuts_no_request_off() {
    block_on(async {
        let mut lab = Lab::new(&THREE_ZONES);
        lab.start().await;
        let upstreams = [lab.upstream("a").await, lab.upstream("b").await, lab.upstream("c").await];
        for upstream in &upstreams {
            upstream.set_behaviour(standin::Behaviour::Answer(Duration::from_millis(200)));
        }
        let callers: Vec<_> = lab.cell.hosts.iter().map(|h| h.caller_client()).collect();
        for (i, callers) in callers.iter().enumerate() {
            until("requests are served", || async {
                let reply = ask(callers, &format!("/warm{i}"), None).await?;
                (reply.status == 200).then_some(())
            })
            .await;
        }
        for i in 0..3 {
            // In flight when the host is told to stop, and just after, before a balancer knows.
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
                let client = lab.cell.hosts[i].operator_client();
                task::spawn(async move { client.post::<_, Value>("/v1/drain", &json!(null)).await })
            };
            let after = task::spawn(load(4));
            let replies: Vec<_> = before.await.into_iter().chain(after.await).collect();
            for reply in replies {
                let reply = reply.expect("cut off without an answer");
                assert_eq!((reply.status, outcome(&reply)), (200, "ran"), "{}", reply.text());
            }
            stopping.await.unwrap();
            assert_eq!(lab.cell.hosts[i].stop().unwrap(), Some(0), "a graceful end");
            lab.cell.hosts[i].start().unwrap();
            until("the host is back", || is_ready(&lab.cell.hosts[i])).await;
        }
    });
}

#[test]
fn a_task_runs_in_one_place_when_leaders_freeze_and_workers_are_cut_off() {
    block_on(async {
        let mut lab = Lab::new(&[("a", 2), ("b", 1)]);
        lab.start().await;
        let workers = [lab.worker("a", "w1"), lab.worker("a", "w2"), lab.worker("a", "w3")];
        submit(&lab.cell.hosts[0], &spec("desk", "service", 4, "a", &["serve"])).await;
        let runs = |at_least: usize| {
            let journal = lab.journal.clone();
            move || {
                let live = journal.runs_of("planning/desk");
                let live = live.iter().filter(|run| run.ended.is_none()).count();
                async move { (live >= at_least).then_some(()) }
            }
        };
        until("all tasks run", runs(4)).await;
        workers[0].disconnect();
        for i in [0, 1] {
            lab.cell.hosts[i].pause().unwrap();
            // Longer than a lease and an election.
            task::sleep(Duration::from_secs(6)).await;
            lab.cell.hosts[i].resume().unwrap();
            task::sleep(Duration::from_secs(1)).await;
        }
        until("all tasks run elsewhere", runs(4)).await;
        assert_eq!(lab.journal.overlapping_runs(), []);
    });
}

#[test]
fn a_zone_cut_off_serves_what_it_can_and_joins_again() {
    block_on(async {
        let mut lab = Lab::new(&THREE_ZONES);
        let relays = relay_all(&lab.cell).await;
        lab.start().await;
        let _upstream = lab.upstream("a").await;
        let worker = lab.worker("a", "w1");
        let inside = lab.cell.hosts[0].caller_client();
        until("requests are served", || async {
            (ask(&inside, "/warm", None).await?.status == 200).then_some(())
        })
        .await;
        relays.iter().filter(|(f, t, _)| f == "a-1" || t == "a-1").for_each(|(.., r)| r.cut());
        let note = json!({"base": 1, "quotas": [{"team": "t", "weight": 3}]});
        let told = apply(&lab.cell.hosts[1], "outside", &note).await;
        assert_eq!(told.pointer("/Accepted/version"), Some(&json!(2)), "{told}");
        for n in 0..5 {
            let key = format!("a:{n}");
            let reply = ask(&inside, "/inside", Some(&key)).await.expect("an answer");
            assert_eq!((reply.status, outcome(&reply)), (200, "ran"), "{}", reply.text());
        }
        submit(&lab.cell.hosts[0], &spec("inside", "batch", 2, "a", &["run", "0.1"])).await;
        until("work inside goes on", || async {
            (lab.journal.runs_of("planning/inside").len() == 2).then_some(())
        })
        .await;
        assert_eq!(release_version(&lab.cell.hosts[0]).await, Some(1));
        relays.iter().for_each(|(.., relay)| relay.join());
        until("the release is in force inside", || async {
            (release_version(&lab.cell.hosts[0]).await == Some(2)).then_some(())
        })
        .await;
        assert_eq!(lab.journal.overlapping_runs(), []);
        worker.kill();
    });
}
