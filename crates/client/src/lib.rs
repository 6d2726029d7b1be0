//! A small HTTP client for ebonywalk's interfaces, with JSON bodies and one connection per call;
//! and a connection pool for requests to upstreams and workers.
//!
//! ```no_run
//! # async_std::task::block_on(async {
//! let client = client::ClientBuilder::new("127.0.0.1:7402").token("local-only").build();
//! let status: serde_json::Value = client.get("/v1/status").await.unwrap();
//! # });
//! ```

mod error;
mod pool;

pub use error::{Error, ErrorKind};
pub use http_types::Method;
pub use pool::{Connection, ExchangeError, Label, OutgoingRequest, Pool};

use async_std::future::timeout;
use async_std::net::TcpStream;
use http_types::{Body, Request, Url};
use serde::de::DeserializeOwned;
use serde::Serialize;
use std::net::Shutdown;
use std::time::Duration;

/// A complete HTTP response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Reply {
    /// HTTP status code.
    pub status: u16,
    /// Headers, with lower-case names.
    pub headers: Vec<(String, String)>,
    /// The complete body.
    pub body: Vec<u8>,
}

impl Reply {
    /// Returns the last header with this lower-case name.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().rev().find(|(n, _)| n == name).map(|(_, value)| value.as_str())
    }

    /// Returns the body as text, with invalid UTF-8 replaced.
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

/// Builds a [`Client`].
#[derive(Clone, Debug)]
pub struct ClientBuilder {
    addr: String,
    token: Option<String>,
    timeout: Duration,
}

impl ClientBuilder {
    /// Starts a client for the server at `ip:port`, without a token and with a timeout of 10 s.
    pub fn new<A>(addr: A) -> ClientBuilder
    where
        A: Into<String>,
    {
        ClientBuilder { addr: addr.into(), token: None, timeout: Duration::from_secs(10) }
    }

    /// Sets the operators' token, sent as a bearer token.
    pub fn token(mut self, token: &str) -> Self {
        self.token = Some(token.to_string());
        self
    }

    /// Sets the longest time to connect, and the longest time from then on to a complete answer.
    pub fn timeout(mut self, timeout: Duration) -> Self {
        self.timeout = timeout;
        self
    }

    /// Builds the client.
    pub fn build(self) -> Client {
        Client { cfg: self }
    }
}

/// A client of one server. Cheap to clone.
#[derive(Clone, Debug)]
pub struct Client {
    cfg: ClientBuilder,
}

impl Client {
    /// Returns the address of the server.
    pub fn addr(&self) -> &str {
        &self.cfg.addr
    }

    /// Sends a GET request and reads the answer as JSON.
    pub async fn get<T>(&self, path: &str) -> Result<T, Error>
    where
        T: DeserializeOwned,
    {
        let reply = self.send(Method::Get, path, &[], Vec::new()).await?;
        parse(reply)
    }

    /// Sends a DELETE request and reads the answer as JSON.
    pub async fn delete<T>(&self, path: &str) -> Result<T, Error>
    where
        T: DeserializeOwned,
    {
        let reply = self.send(Method::Delete, path, &[], Vec::new()).await?;
        parse(reply)
    }

    /// Sends a POST request with a JSON body and reads the answer as JSON.
    pub async fn post<B, T>(&self, path: &str, body: &B) -> Result<T, Error>
    where
        B: Serialize,
        T: DeserializeOwned,
    {
        let body = serde_json::to_vec(body).map_err(|e| Error::Body(e.to_string()))?;
        let headers = [("content-type", "application/json")];
        let reply = self.send(Method::Post, path, &headers, body).await?;
        parse(reply)
    }

    /// Sends a request and returns the response, whatever its status.
    pub async fn send(
        &self,
        method: Method,
        path: &str,
        headers: &[(&str, &str)],
        body: Vec<u8>,
    ) -> Result<Reply, Error> {
        let stream = timeout(self.cfg.timeout, TcpStream::connect(self.addr()))
            .await
            .map_err(|_| Error::Unreachable(self.cfg.addr.clone(), "timed out".to_string()))?
            .map_err(|e| Error::Unreachable(self.cfg.addr.clone(), e.to_string()))?;
        let closer = stream.clone();
        let exchange = self.exchange(stream, method, path, headers, body);
        let reply = timeout(self.cfg.timeout, exchange).await;
        let _ = closer.shutdown(Shutdown::Both);
        let no_answer = |cause: String| Error::NoAnswer(self.cfg.addr.clone(), cause);
        reply.map_err(|_| no_answer("timed out".to_string()))?.map_err(|e| no_answer(e.to_string()))
    }

    async fn exchange(
        &self,
        stream: TcpStream,
        method: Method,
        path: &str,
        headers: &[(&str, &str)],
        body: Vec<u8>,
    ) -> http_types::Result<Reply> {
        stream.set_nodelay(true)?;
        let mut req = Request::new(method, Url::parse(&format!("http://{}{path}", self.addr()))?);
        if let Some(token) = &self.cfg.token {
            req.insert_header("authorization", format!("Bearer {token}"));
        }
        req.set_body(Body::from_bytes(body));
        for (name, value) in headers {
            req.insert_header(*name, *value);
        }
        let mut res = async_h1::connect(stream, req).await?;
        let content_length: Option<usize> =
            res.header("content-length").and_then(|v| v.as_str().parse().ok());
        let body = res.body_bytes().await?;
        if content_length.is_some_and(|length| length != body.len()) && method != Method::Head {
            http_types::bail!("the answer ends early");
        }
        let headers = res.iter().flat_map(|(name, values)| {
            values.iter().map(|v| (name.as_str().to_string(), v.as_str().to_string()))
        });
        Ok(Reply { status: res.status().into(), headers: headers.collect(), body })
    }
}

fn parse<T>(reply: Reply) -> Result<T, Error>
where
    T: DeserializeOwned,
{
    if !(200..300).contains(&reply.status) {
        return Err(Error::refused(&reply));
    }
    serde_json::from_slice(&reply.body).map_err(|e| Error::Body(e.to_string()))
}
