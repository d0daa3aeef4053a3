//! What an append reports when the log's response does not tell whether the record was written.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use http::StatusCode;
use http_edge::Handler;
use http_edge::Request;
use http_edge::Response;
use http_edge::Server;
use http_edge::ServerCfg;
use platform::AppendError;
use platform::LogCfg;
use platform::LogClient;

/// Sends the same response to each request.
struct Fixed(RefCell<Response>);

impl Handler for Fixed {
    async fn handle(&self, _req: Request) -> Response {
        self.0.borrow().clone()
    }
}

#[test]
fn only_a_refusal_is_reported_as_not_written() {
    http_edge::block_on(async {
        let address: SocketAddr = "127.7.200.1:9301".parse().expect("an address");
        let listener = http_edge::listen(address).expect("the address is free");
        let fixed = Rc::new(Fixed(RefCell::new(Response::new(StatusCode::OK, ""))));
        let server = Server::start(listener, Rc::clone(&fixed), ServerCfg::default());
        let cfg = LogCfg {
            append_timeout: Duration::from_millis(300),
            ..LogCfg::default()
        };
        let client = LogClient::new(address, "tickets", cfg);
        for (status, body, is_unknown) in [
            (StatusCode::OK, "?", true),
            (StatusCode::INTERNAL_SERVER_ERROR, "", true),
            (StatusCode::BAD_GATEWAY, "", true),
            (StatusCode::SERVICE_UNAVAILABLE, "", false),
            (StatusCode::TOO_MANY_REQUESTS, "", false),
            (StatusCode::BAD_REQUEST, "", false),
        ] {
            *fixed.0.borrow_mut() =
                Response::new(status, body).with_header("retry-after", u64::MAX.to_string());
            let error = client.append_text("record").await.expect_err("no offset");
            let actual = matches!(error, AppendError::OutcomeUnknown(_));
            assert_eq!(actual, is_unknown, "{status}: {error}");
        }
        client.close();
        server.close(Duration::ZERO).await;
    });
}
