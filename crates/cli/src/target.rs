//! The entry hosts to which a command is sent.

use crate::Error;
use clap::ArgMatches;
use client::{Client, ClientBuilder, ErrorKind};
use serde::de::DeserializeOwned;
use serde::Serialize;
use std::env;
use std::future::Future;

/// Operators' address of the default settings of `ebonywalkd`.
const DEFAULT_OPERATORS: &str = "127.0.0.1:7402";

/// Clients of the entry hosts, in the order in which they are tried.
pub(crate) struct Target {
    clients: Vec<Client>,
}

impl Target {
    /// Reads addresses and token from the flags, the environment or the defaults, in this order.
    pub(crate) fn from_matches(matches: &ArgMatches) -> Target {
        let setting = |flag: &str, variable: &str, default: &str| {
            let given = matches.get_one::<String>(flag).cloned();
            given.or_else(|| env::var(variable).ok()).unwrap_or_else(|| default.to_string())
        };
        let operators = setting("operators", "EBONYWALK_OPERATORS", DEFAULT_OPERATORS);
        let token = setting("token", "EBONYWALK_TOKEN", settings::DEFAULT_OPERATOR_TOKEN);
        let addrs = operators.split(',').map(str::trim).filter(|addr| !addr.is_empty());
        let client = |addr: &str| ClientBuilder::new(addr).token(&token).build();
        Target { clients: addrs.map(client).collect() }
    }

    /// Returns the clients of all entry hosts.
    pub(crate) fn all(&self) -> &[Client] {
        &self.clients
    }

    pub(crate) async fn get<T>(&self, path: &str) -> Result<T, Error>
    where
        T: DeserializeOwned,
    {
        self.first_reachable(|client| async move { client.get(path).await }).await
    }

    pub(crate) async fn delete<T>(&self, path: &str) -> Result<T, Error>
    where
        T: DeserializeOwned,
    {
        self.first_reachable(|client| async move { client.delete(path).await }).await
    }

    pub(crate) async fn post<B, T>(&self, path: &str, body: &B) -> Result<T, Error>
    where
        B: Serialize,
        T: DeserializeOwned,
    {
        self.first_reachable(|client| async move { client.post(path, body).await }).await
    }

    /// Makes a call to the first host that can be reached. The next host is tried only if nothing
    /// was sent to the one before, so a call is never made twice.
    async fn first_reachable<F, Fut, T>(&self, f: F) -> Result<T, Error>
    where
        F: Fn(Client) -> Fut,
        Fut: Future<Output = Result<T, client::Error>>,
    {
        let mut last = Error::Usage("operators: no address given".to_string());
        for client in &self.clients {
            match f(client.clone()).await {
                Err(e) if e.kind() == ErrorKind::Unreachable => last = e.into(),
                other => return Ok(other?),
            }
        }
        Err(last)
    }
}
