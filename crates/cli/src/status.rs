//! Commands that show the state of the cell, and the drain of an entry host.

use crate::output::{print_json, table, Format};
use crate::run::Context;
use crate::Error;
use host::HostStatus;
use serde_json::Value;

/// Fetches the status of every entry host given. Also returns the errors of hosts that did not
/// answer; fails if none did.
async fn fetch_statuses(cx: &Context) -> Result<(Vec<HostStatus>, Vec<String>), Error> {
    let mut statuses = Vec::new();
    let mut failed = Vec::new();
    let mut last = None;
    for client in cx.target.all() {
        match client.get::<HostStatus>("/v1/status").await {
            Ok(status) => statuses.push(status),
            Err(e) => {
                failed.push(e.to_string());
                last = Some(e);
            }
        }
    }
    match (statuses.is_empty(), last) {
        (true, Some(e)) => Err(e.into()),
        _ => Ok((statuses, failed)),
    }
}

pub(crate) async fn show(cx: &Context) -> Result<(), Error> {
    let (statuses, failed) = fetch_statuses(cx).await?;
    if cx.format == Format::Json {
        print_json(&statuses);
        return Ok(());
    }
    for cause in &failed {
        println!("! {cause}");
    }
    statuses.iter().for_each(print_status);
    Ok(())
}

fn print_status(status: &HostStatus) {
    let ready = if status.ready {
        "ready".to_string()
    } else {
        format!("NOT READY: {}", status.not_ready_because)
    };
    println!("{} in {}: {ready}; release {}", status.host, status.zone, status.release);
    for group in &status.groups {
        let leader = group.leader.as_deref().unwrap_or("NOBODY");
        let hosts: Vec<&str> = group.members.iter().map(|m| m.host.as_str()).collect();
        println!("  group {}: led by {leader}, members {}", group.group, hosts.join(", "));
    }
    for group in &status.forming {
        println!("  group {group}: WAITS for its members to come for the first time");
    }
    for peer in &status.peers {
        let contact = match peer.silent_for {
            Some(silence) if silence.as_secs() < 4 => "heard".to_string(),
            Some(silence) => format!("SILENT for {}s", silence.as_secs()),
            None => "NEVER HEARD".to_string(),
        };
        let behind = if peer.release < status.release { ", BEHIND" } else { "" };
        let draining = if peer.draining { ", being stopped" } else { "" };
        println!("  peer {}: {contact}, release {}{behind}{draining}", peer.host, peer.release);
    }
    for upstream in &status.upstreams {
        let ejected = if upstream.ejected { ", SET ASIDE for failing" } else { "" };
        println!(
            "  upstream {} ({}, {}): {} of {} requests{ejected}",
            upstream.upstream, upstream.service, upstream.zone, upstream.in_flight, upstream.limit
        );
    }
}

pub(crate) async fn members(cx: &Context) -> Result<(), Error> {
    let (statuses, _) = fetch_statuses(cx).await?;
    if cx.format == Format::Json {
        let groups: Vec<_> = statuses.iter().map(|s| (&s.host, &s.groups)).collect();
        print_json(&groups);
        return Ok(());
    }
    let mut rows = Vec::new();
    for status in &statuses {
        for group in &status.groups {
            for member in &group.members {
                let leads = group.leader.as_ref() == Some(&member.host);
                rows.push(vec![
                    status.host.clone(),
                    group.group.clone(),
                    member.host.clone(),
                    format!("{}{}", member.role, if leads { " (leads)" } else { "" }),
                    member.matched.map_or("-".to_string(), |matched| matched.to_string()),
                    group.commit.to_string(),
                ]);
            }
        }
    }
    print!("{}", table(&["SEEN BY", "GROUP", "MEMBER", "ROLE", "HAS", "COMMITTED"], &rows));
    Ok(())
}

pub(crate) async fn drain_host(cx: &Context) -> Result<(), Error> {
    let client = cx
        .target
        .all()
        .first()
        .ok_or_else(|| Error::Usage("operators: no address given".to_string()))?;
    let _: Value = client.post("/v1/drain", &Value::Null).await?;
    println!("the entry host at {} stops gracefully", client.addr());
    Ok(())
}
