//! Connections that a pool keeps, by what they lead to.

use async_std::task;
use client::{Connection, Label, Pool};
use futures::FutureExt;
use std::net::TcpListener;
use std::time::Duration;

const LIMIT: Duration = Duration::from_secs(5);

fn connect(pool: &Pool, addr: &str, label: Option<Label>) -> Connection {
    let mut connection = task::block_on(pool.connect(addr, LIMIT)).unwrap();
    if let Some(label) = label {
        connection.set_label(label);
    }
    connection
}

fn labels_left(pool: &Pool, addr: &str) -> Vec<Option<Label>> {
    std::iter::from_fn(|| pool.take(addr, None)).map(|connection| connection.label()).collect()
}

#[test]
fn a_labelled_connection_is_preferred_and_those_with_another_label_are_closed() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let (addr, pool) = (listener.local_addr().unwrap().to_string(), Pool::new(100));
    for label in [Some(1), None, Some(2), None] {
        pool.put_back(connect(&pool, &addr, label), 8);
    }
    assert_eq!(pool.take(&addr, Some(1)).unwrap().label(), Some(1));
    assert_eq!(pool.take(&addr, Some(1)).unwrap().label(), None, "there is no other");
    assert_eq!(labels_left(&pool, &addr), [None]);
}

#[test]
fn the_connections_that_were_used_last_are_kept() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let (addr, pool) = (listener.local_addr().unwrap().to_string(), Pool::new(100));
    for label in 1..=5 {
        pool.put_back(connect(&pool, &addr, Some(label)), 2);
    }
    assert_eq!(labels_left(&pool, &addr), [Some(5), Some(4)]);
    pool.put_back(connect(&pool, &addr, None), 0);
    assert_eq!(labels_left(&pool, &addr), []);
}

#[test]
fn a_turn_is_free_again_when_it_is_dropped() {
    let pool = Pool::new(100);
    let first = task::block_on(pool.turn("10.0.0.1:80", 2));
    let _second = task::block_on(pool.turn("10.0.0.1:80", 2));
    assert!(pool.turn("10.0.0.1:80", 2).now_or_never().is_none());
    assert!(pool.turn("10.0.0.2:80", 2).now_or_never().is_some(), "another server");
    drop(first);
    assert!(pool.turn("10.0.0.1:80", 2).now_or_never().is_some());
}
