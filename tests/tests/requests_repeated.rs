//! A target sends its answer a second time, when the connection is in use again.

use std::net::SocketAddr;
use std::time::Duration;

use bambooseam_measure::requests::caller::{CallResult, call_once, request};
use bambooseam_measure::requests::fleet::{Fleet, FleetPlan};
use bambooseam_standin::deployment::ORDERS_PORT;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{sleep, timeout};

/// Time after an answer at which it is sent again.
const REPEAT_TIME: Duration = Duration::from_millis(150);

/// Time that the target works on each request but the first.
const WORK_TIME: Duration = Duration::from_millis(300);

/// Pause of the caller, after which the connection is taken from the pool again.
const PAUSE: Duration = Duration::from_millis(50);

const STEP_TIMEOUT: Duration = Duration::from_secs(20);

/// Serves connections, and sends each answer a second time.
async fn serve(listener: TcpListener, names_request: bool) {
    let mut is_first = true;
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            continue;
        };
        let is_first = std::mem::take(&mut is_first);
        tokio::spawn(serve_connection(stream, names_request, is_first));
    }
}

async fn serve_connection(stream: TcpStream, names_request: bool, mut is_first: bool) {
    let (mut reader, writer) = stream.into_split();
    let writer = std::sync::Arc::new(tokio::sync::Mutex::new(writer));
    while let Some(head) = read_head(&mut reader).await {
        if !std::mem::take(&mut is_first) {
            sleep(WORK_TIME).await;
        }
        let id = head
            .lines()
            .find_map(|line| line.strip_prefix("x-request-id: "))
            .unwrap_or_default();
        let body = format!("id={id} \n");
        let name = match names_request {
            true => format!("x-request-id: {id}\r\n"),
            false => String::new(),
        };
        let length = body.len();
        let answer = format!("HTTP/1.1 200 OK\r\n{name}content-length: {length}\r\n\r\n{body}");
        if writer
            .lock()
            .await
            .write_all(answer.as_bytes())
            .await
            .is_err()
        {
            return;
        }
        let writer = std::sync::Arc::clone(&writer);
        tokio::spawn(async move {
            sleep(REPEAT_TIME).await;
            // The proxy may have closed the connection.
            let _ = writer.lock().await.write_all(answer.as_bytes()).await;
        });
    }
}

/// Reads the head of a request without a body.
async fn read_head(reader: &mut (impl AsyncReadExt + Unpin)) -> Option<String> {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        head.push(reader.read_u8().await.ok()?);
    }
    String::from_utf8(head).ok()
}

/// Calls a proxy whose only target repeats its answers; returns the second answer.
async fn second_answer(method: &str, names_request: bool) -> CallResult {
    let plan = FleetPlan {
        vms: 1,
        orders: 1,
        downloads: 1,
        workers: 1,
    };
    let fleet = Fleet::start(plan, str::to_owned).await;
    let target: SocketAddr = fleet.deployment.targets.targets[0].requests;
    fleet.targets[0].kill().await;
    let listener = TcpListener::bind(target)
        .await
        .expect("the address is free");
    tokio::spawn(serve(listener, names_request));
    let address = fleet.proxies[0].address(ORDERS_PORT);
    let first = call_once(address, request(method, "/a", "first")).await;
    assert!(first.text().starts_with("id=first "), "{first:?}");
    sleep(PAUSE).await;
    let second = call_once(address, request(method, "/a", "second"));
    timeout(STEP_TIMEOUT, second)
        .await
        .expect("an answer in time")
}

#[tokio::test]
async fn repeated_answer_reaches_no_other_caller() {
    // Served on another connection, or failed if the retry budget is empty.
    let answer = second_answer("GET", true).await;
    let is_own = answer.text().starts_with("id=second ");
    assert!(is_own || !answer.is_served(), "{answer:?}");
}

#[tokio::test]
async fn repeated_answer_leaves_the_outcome_of_an_order_unknown() {
    let answer = second_answer("POST", true).await;
    assert!(!answer.text().starts_with("id=first "), "{answer:?}");
    assert!(!answer.is_not_run(), "{answer:?}");
}

#[tokio::test]
async fn connection_whose_answers_name_no_request_is_not_used_again() {
    let answer = second_answer("GET", false).await;
    assert!(answer.text().starts_with("id=second "), "{answer:?}");
}

#[tokio::test]
async fn connection_whose_answers_name_no_request_carries_no_second_order() {
    let answer = second_answer("POST", false).await;
    assert!(answer.text().starts_with("id=second "), "{answer:?}");
}
