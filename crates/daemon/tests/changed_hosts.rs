//! Changes of the list of hosts in the settings, tested with real processes on loopback.

mod support;

use async_std::task::block_on;
use serde_json::Value;
use standin::HostProcess;
use support::{is_ready, spec, submit, until, Harness};

/// Takes another host out of the list in a host's settings.
fn withdraw(host: &HostProcess, withdrawn: &str) {
    let entry = format!("{{host: {withdrawn},");
    host.edit_settings(|text| {
        let kept = text.lines().filter(|line| !line.contains(&entry));
        kept.map(|line| format!("{line}\n")).collect()
    })
    .unwrap();
}

/// The hosts that vote in a group as its leader sees it; `None` if `host` does not lead it.
async fn votes_seen_by_leader(host: &HostProcess, group: &str) -> Option<Vec<String>> {
    let status: Value = host.operator_client().get("/v1/status").await.ok()?;
    let groups = status["groups"].as_array()?;
    let group = groups.iter().find(|g| g["group"] == group && g["leader"] == *host.name)?;
    let voting = group["members"].as_array()?.iter().filter(|m| m["role"] != "Learner");
    voting.map(|member| Some(member["host"].as_str()?.to_string())).collect()
}

/// One of a zone's two hosts is lost and withdrawn, so the zone has no witness any more. The former
/// witness must go on voting with its log until the zone's group has taken its vote.
#[test]
fn a_witness_that_is_listed_no_more_votes_until_its_vote_ends() {
    block_on(async {
        let mut harness = Harness::new(&[("a", 2), ("b", 1), ("c", 1)]);
        harness.start().await;
        harness.cell.host("a-2").kill();
        for name in ["b-1", "a-1", "c-1"] {
            let host = harness.cell.host(name);
            withdraw(host, "a-2");
            host.kill();
            host.start().unwrap();
            until("the host is back", || is_ready(host)).await;
        }
        let host = harness.cell.host("a-1");
        let alone = Some(vec!["a-1".to_string()]);
        until("zone a's remaining host has the only vote", || async {
            (votes_seen_by_leader(host, "zone-a").await == alone).then_some(())
        })
        .await;
        submit(host, &spec("after", "batch", 1, "a", &["run", "0.1"])).await;
    });
}
