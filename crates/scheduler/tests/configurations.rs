//! Configurations on their way to fifty hosts on slow links, in virtual time.

use accounts::{Account, AccountBuilder, Accounts};
use jobs::{Configuration, QueueAddress, QueuePolicy, ServicePolicy};
use scheduler::{
    Answer, Call, Input, Node, NodeConfigBuilder, Outbox, Output, PeerMessage, StartState,
};
use std::collections::VecDeque;
use std::time::Duration;
use types::{ExchangeId, Timestamp, Version};

const HOSTS: usize = 50;
/// Bandwidth of a host's link: 2 Mbit/s.
const LINK_BYTES_PER_MS: usize = 250;
/// One-way delay of a link, in milliseconds.
const LINK_DELAY: u64 = 1;
/// Interval between two calls of a host, in milliseconds.
const CALL_INTERVAL: u64 = 20;
/// A call without configurations on the link takes two delays and its own transmission.
const MAX_CALL_TIME: Duration = Duration::from_millis(50);
/// A change must be in force on all hosts within this time.
const MAX_TIME_TO_FORCE: Duration = Duration::from_secs(3);
/// Routes that the operator has at first, and those that are added at once.
const FIRST_QUEUES: usize = 40;
const ADDED_QUEUES: usize = 1_360;
/// Client accounts that the operator has.
const ACCOUNTS: usize = 130;
/// A change of one queue and one account takes no more bytes than this on a link.
const MAX_CHANGE_BYTES: usize = 1_000;

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn queue(i: usize) -> (QueueAddress, QueuePolicy) {
    let prefix = format!("/route-{i:05}/with-a-text-as-long-as-usual/");
    let address = QueueAddress { host: "q.example".into(), prefix };
    let policy = QueuePolicy {
        name: format!("r-{i:07}"),
        service: "crunch".into(),
        priority: 1,
        attempts: 3,
        stretch: 2.0,
        slack: ms(1_000),
        request_timeout: ms(3_000),
        advice: None,
        open: true,
    };
    (address, policy)
}

/// The accounts of a version, of which each has two keys. One of them differs from the version before.
fn accounts(version: Version) -> Accounts {
    let account = |i: usize| -> Account {
        let generation = (version + ACCOUNTS as u64 - i as u64) / ACCOUNTS as u64;
        let account = AccountBuilder::new(format!("account-{i:03}")).key(&format!("key-{i}"));
        account.key(&format!("key-{i}-{generation}")).build()
    };
    // Each version lacks one account.
    let is_there = |i: &usize| *i != version as usize % 7;
    Accounts::new((0..ACCOUNTS).filter(is_there).map(account).collect()).unwrap()
}

fn configuration(version: Version, queues: usize) -> Configuration {
    let mut queues: Vec<_> = (0..queues).map(queue).collect();
    // Each version changes one queue and removes another one.
    queues[1].1.request_timeout = ms(3_000 + version);
    queues.remove(2 + version as usize % 30);
    Configuration {
        version,
        document: vec![b'x'; queues.len() * 280],
        queues,
        services: vec![ServicePolicy { name: "crunch".into(), ..ServicePolicy::default() }],
        accounts: accounts(version),
        ..Configuration::default()
    }
}

/// Order of the messages on a link.
#[derive(Clone, Copy, PartialEq)]
enum Discipline {
    /// As the product orders them.
    Outbox,
    /// In the order in which they were sent.
    Fifo,
}

/// The link from the leader to a host: one batch at a time, the next one after its answer.
struct Link {
    outbox: Outbox,
    fifo: VecDeque<PeerMessage>,
    in_flight: Option<(u64, Vec<PeerMessage>)>,
    free_at: u64,
    max_waiting: usize,
    /// Bytes of configurations that were sent.
    configuration_bytes: usize,
}

impl Link {
    fn push(&mut self, message: PeerMessage, discipline: Discipline) {
        if message.is_bulk() {
            let encoded = postcard::to_stdvec(&message).expect("plain data always encodes");
            self.configuration_bytes += encoded.len();
        }
        match discipline {
            Discipline::Outbox => assert!(self.outbox.push(message), "a message was dropped"),
            Discipline::Fifo => self.fifo.push_back(message),
        }
        self.max_waiting = self.max_waiting.max(self.outbox.bytes());
    }

    /// Messages that have arrived by `now`. Sends the next batch if the link is free.
    fn advance(&mut self, now: u64) -> Vec<PeerMessage> {
        let arrived = self.in_flight.take_if(|(at, _)| *at <= now).map(|(_, batch)| batch);
        if self.in_flight.is_none() && now >= self.free_at {
            let mut batch = self.outbox.next_batch();
            batch.extend(self.fifo.pop_front());
            if !batch.is_empty() {
                let bytes = postcard::to_stdvec(&batch).expect("plain data always encodes").len();
                let transmission = bytes.div_ceil(LINK_BYTES_PER_MS) as u64;
                self.in_flight = Some((now + transmission + LINK_DELAY, batch));
                self.free_at = now + transmission + 2 * LINK_DELAY;
            }
        }
        arrived.unwrap_or_default()
    }
}

struct Host {
    node: Node,
    link: Link,
    /// Calls that wait for an answer, with the time at which they were made.
    open: Vec<(ExchangeId, u64)>,
    slowest_call: Duration,
}

struct Cell {
    now: u64,
    leader: Node,
    hosts: Vec<Host>,
    /// Messages from hosts to the leader, with the time of their arrival.
    to_leader: VecDeque<(u64, String, PeerMessage)>,
    discipline: Discipline,
    last_exchange: ExchangeId,
    /// Host that no part of a configuration reaches.
    loses_parts: Option<usize>,
}

fn host_name(i: usize) -> String {
    format!("10.0.1.{}", i + 1)
}

fn node(host: &str, disk: bool) -> Node {
    let cfg = NodeConfigBuilder::new(host)
        .seeds(vec!["10.0.0.1".into()])
        .disk(disk)
        .bootstrap(disk)
        .build();
    Node::new(cfg, StartState { member: 1, process: 1, seed: 7, ..StartState::default() })
}

impl Cell {
    fn new(discipline: Discipline) -> Cell {
        let link = || Link {
            outbox: Outbox::default(),
            fifo: VecDeque::new(),
            in_flight: None,
            free_at: 0,
            max_waiting: 0,
            configuration_bytes: 0,
        };
        let host = |i: usize| Host {
            node: node(&host_name(i), false),
            link: link(),
            open: Vec::new(),
            slowest_call: Duration::ZERO,
        };
        let mut cell = Cell {
            now: 1,
            leader: node("10.0.0.1", true),
            hosts: (0..HOSTS).map(host).collect(),
            to_leader: VecDeque::new(),
            discipline,
            last_exchange: 0,
            loses_parts: None,
        };
        while !cell.leader.leads() || cell.now < 3_000 {
            cell.step(false);
        }
        cell
    }

    fn time(&self) -> Timestamp {
        ms(self.now)
    }

    fn leader_outputs(&mut self, outputs: Vec<Output>) {
        for output in outputs {
            let Output::Send(to, message) = output else { continue };
            let i: usize = to.rsplit('.').next().unwrap().parse().unwrap();
            self.hosts[i - 1].link.push(message, self.discipline);
        }
    }

    fn host_outputs(&mut self, i: usize, outputs: Vec<Output>) {
        for output in outputs {
            match output {
                Output::Send(_, message) => {
                    self.to_leader.push_back((self.now + LINK_DELAY, host_name(i), message))
                }
                Output::Answer(exchange, answer) => {
                    assert!(matches!(answer, Ok(Answer::Waiting(_))), "{answer:?}");
                    let now = self.now;
                    let host = &mut self.hosts[i];
                    let at = host.open.iter().position(|(id, _)| *id == exchange).unwrap();
                    let (_, began) = host.open.remove(at);
                    host.slowest_call = host.slowest_call.max(ms(now - began));
                }
                _ => {}
            }
        }
    }

    /// Advances the time by one millisecond.
    fn step(&mut self, calls: bool) {
        self.now += 1;
        let now = self.time();
        while self.to_leader.front().is_some_and(|(at, ..)| *at <= self.now) {
            let (_, from, message) = self.to_leader.pop_front().unwrap();
            let outputs = self.leader.step(now, Input::Peer(from, message));
            self.leader_outputs(outputs);
        }
        let outputs = self.leader.step(now, Input::Tick);
        self.leader_outputs(outputs);
        for i in 0..HOSTS {
            for message in self.hosts[i].link.advance(self.now) {
                if message.is_bulk() && self.loses_parts == Some(i) {
                    continue;
                }
                let outputs = self.hosts[i].node.step(now, Input::Peer("10.0.0.1".into(), message));
                self.host_outputs(i, outputs);
            }
            let outputs = self.hosts[i].node.step(now, Input::Tick);
            self.host_outputs(i, outputs);
            if calls && (self.now + i as u64).is_multiple_of(CALL_INTERVAL) {
                self.last_exchange += 1;
                let call = Call::CountWaiting { queue: queue(0).0, key: None };
                self.hosts[i].open.push((self.last_exchange, self.now));
                let input = Input::Call(self.last_exchange, call, now + ms(2_900));
                let outputs = self.hosts[i].node.step(now, input);
                self.host_outputs(i, outputs);
            }
        }
    }

    fn configure(&mut self, configuration: Configuration) {
        self.last_exchange += 1;
        let call = Call::Configure(Box::new(configuration));
        let input = Input::Call(self.last_exchange, call, self.time() + ms(900));
        let outputs = self.leader.step(self.time(), input);
        self.leader_outputs(outputs);
    }

    fn all_have(&self, version: Version) -> bool {
        self.hosts.iter().all(|host| host.node.configuration().version >= version)
    }

    fn slowest_call(&self) -> Duration {
        self.hosts.iter().map(|host| host.slowest_call).max().unwrap()
    }
}

/// A storm: a change every 0.3 s for 4 s, then 1,360 routes more, then changes again. Returns the
/// longest times until a change was in force on all hosts and of a call, and the most bytes that
/// waited for a host.
fn play_storm(discipline: Discipline) -> (Duration, Duration, usize) {
    let mut cell = Cell::new(discipline);
    let mut slowest = Duration::ZERO;
    let mut queues = FIRST_QUEUES;
    let mut sent: Vec<(Version, u64)> = Vec::new();
    let begin = cell.now;
    let mut version = 0;
    while cell.now < begin + 14_000 {
        let elapsed = cell.now - begin;
        let storm = elapsed < 4_000 || (5_000..8_000).contains(&elapsed);
        if (storm && elapsed.is_multiple_of(300)) || elapsed == 4_000 {
            if elapsed == 4_000 {
                queues += ADDED_QUEUES;
            }
            version += 1;
            cell.configure(configuration(version, queues));
            sent.push((version, cell.now));
        }
        cell.step(elapsed > 500);
        while sent.first().is_some_and(|(version, _)| cell.all_have(*version)) {
            let (_, at) = sent.remove(0);
            slowest = slowest.max(ms(cell.now - at));
        }
    }
    assert!(sent.is_empty(), "never in force everywhere: {sent:?}");
    for host in &cell.hosts {
        let expected = configuration(version, queues);
        let mut found = host.node.configuration().queues.clone();
        found.sort_by(|a, b| a.0.cmp(&b.0));
        assert!(found == expected.queues, "a host has other queues than the operator sent");
        let found = &host.node.configuration().accounts;
        assert!(*found == expected.accounts, "a host has other accounts than the operator sent");
        assert!(host.node.configuration().document.is_empty(), "hosts don't need the document");
    }
    let waiting = cell.hosts.iter().map(|host| host.link.max_waiting).max().unwrap();
    (slowest, cell.slowest_call(), waiting)
}

/// Guards against configurations that choke the cell: on slow links, calls and heartbeats must not
/// wait behind them, and they must still be in force everywhere in time.
#[test]
fn a_storm_of_configurations_holds_up_nothing() {
    let (in_force, call, waiting) = play_storm(Discipline::Outbox);
    println!("in force after {in_force:?}, slowest call {call:?}, {waiting} bytes waited");
    assert!(in_force < MAX_TIME_TO_FORCE, "in force after {in_force:?}");
    assert!(call < MAX_CALL_TIME, "a call took {call:?}");
    assert!(waiting < 512 << 10, "{waiting} bytes waited for one host");
}

/// The check above notices messages that wait behind a configuration.
#[test]
fn a_link_in_the_order_of_sending_is_noticed() {
    let (_, call, _) = play_storm(Discipline::Fifo);
    assert!(call >= MAX_CALL_TIME, "a call took only {call:?}");
}

/// Guards against hosts that keep an old configuration: one that was away for many changes, and one
/// that starts anew, are sent all that they lack, also by a leader that has seen no change itself.
#[test]
fn a_host_that_was_away_gets_what_it_lacks() {
    let mut cell = Cell::new(Discipline::Outbox);
    cell.configure(configuration(1, FIRST_QUEUES));
    while !cell.all_have(1) {
        cell.step(false);
    }
    let away = cell.hosts.remove(HOSTS - 1);
    cell.hosts.push(Host { node: node(&host_name(HOSTS - 1), false), ..away });
    for version in 2..=9 {
        cell.configure(configuration(version, FIRST_QUEUES + version as usize));
        for _ in 0..30 {
            cell.step(false);
        }
    }
    let limit = cell.now + 3_000;
    while !cell.all_have(9) {
        assert!(cell.now < limit, "not in force everywhere");
        cell.step(false);
    }
    for host in &cell.hosts {
        let mut found = host.node.configuration().queues.clone();
        found.sort_by(|a, b| a.0.cmp(&b.0));
        assert!(found == configuration(9, FIRST_QUEUES + 9).queues, "other queues than sent");
        assert!(host.node.configuration().accounts == accounts(9), "other accounts than sent");
    }
}

/// Guards against accounts that are sent whole with each change, to hosts on slow links.
#[test]
fn a_change_of_one_key_sends_one_account() {
    let mut cell = Cell::new(Discipline::Outbox);
    for version in 1..=3 {
        cell.hosts.iter_mut().for_each(|host| host.link.configuration_bytes = 0);
        cell.configure(configuration(version, FIRST_QUEUES));
        let limit = cell.now + 1_000;
        while !cell.all_have(version) {
            assert!(cell.now < limit, "version {version} is not in force everywhere");
            cell.step(false);
        }
        assert!(cell.hosts.iter().all(|h| h.node.configuration().accounts == accounts(version)));
    }
    let bytes = cell.hosts.iter().map(|host| host.link.configuration_bytes).max().unwrap();
    println!("{bytes} bytes for a change");
    assert!(bytes < MAX_CHANGE_BYTES, "{bytes} bytes for a change");
}

/// Guards against refusing work for a queue that exists: a host that has heard of a newer
/// configuration must not say that a queue is unknown. Found by the bench on the large site, where a
/// host refused a queue for ten seconds after it was in force.
#[test]
fn a_host_that_is_behind_does_not_claim_to_know_all_queues() {
    let mut cell = Cell::new(Discipline::Outbox);
    cell.configure(configuration(1, FIRST_QUEUES));
    while !cell.all_have(1) {
        cell.step(false);
    }
    cell.loses_parts = Some(0);
    cell.configure(configuration(2, FIRST_QUEUES));
    for _ in 0..600 {
        cell.step(false);
    }
    let recent = |i: usize| cell.hosts[i].node.has_recent_configuration();
    assert!(!recent(0), "the host has version 1 and knows of version 2");
    assert!(recent(1));
    cell.loses_parts = None;
    for _ in 0..2_000 {
        cell.step(false);
    }
    assert!(cell.all_have(2) && cell.hosts[0].node.has_recent_configuration());
}
