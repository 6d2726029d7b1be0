//! Tells a server whether the body of a request that it has answered was read.
//!
//! The HTTP library discards what is left of a body after the answer, with a buffer of its own that
//! may hold the next request of the connection too. A server must therefore close a connection on
//! which it has answered a request without reading its body.

use http_types::{Request, Response};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;

/// Whether the body of a request was read to its end. The request and its server share the value.
#[derive(Clone, Debug, Default)]
pub struct BodyState(Arc<AtomicBool>);

impl BodyState {
    /// Attaches the state to a request. A request without a body counts as read.
    pub fn attach(req: &mut Request) -> BodyState {
        let state = BodyState(Arc::new(AtomicBool::new(req.is_empty() == Some(true))));
        req.ext_mut().insert(state.clone());
        state
    }

    /// Records that the body was read to its end.
    pub fn mark_read(&self) {
        self.0.store(true, Ordering::Relaxed);
    }

    /// Makes the server close the connection after this response, unless the body was read.
    ///
    /// ```
    /// use http_types::{Request, Response, Url};
    /// use request_body::BodyState;
    ///
    /// let mut req = Request::post(Url::parse("http://q.example/").unwrap());
    /// req.set_body("text");
    /// let body = BodyState::attach(&mut req);
    /// let mut res = Response::new(400);
    /// body.close_if_unread(&mut res);
    /// assert_eq!(res.header("connection").unwrap().as_str(), "close");
    /// ```
    pub fn close_if_unread(&self, res: &mut Response) {
        if !self.0.load(Ordering::Relaxed) {
            res.insert_header("connection", "close");
        }
    }
}
