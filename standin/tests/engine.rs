//! The simulated engine over HTTP: streams, their resumption and injected faults.

use std::net::SocketAddr;
use std::time::Duration;

use actix_rt::System;
use awc::Client;
use borageladder_standin::control::FaultCommand;
use borageladder_standin::control::LogAnswer;
use borageladder_standin::engine::EngineService;
use borageladder_standin::engine::EngineSpec;
use borageladder_standin::model::EngineProfile;
use serde_json::Value;
use serde_json::json;
use yare::parameterized;

const REQUEST_ID: &str = "00000000000000aa-1";

fn start_engine() -> SocketAddr {
    let spec = EngineSpec {
        name: "engine-1".parse().unwrap(),
        models: vec!["model-1".parse().unwrap()],
        profile: EngineProfile {
            prefill_tokens_per_second: 1_000_000.0,
            decode_gap: Duration::from_millis(1),
            batch_slowdown: 0.0,
            max_batch: 4,
            cache_blocks: 100,
        },
    };
    EngineService::start("127.0.0.1:0".parse().unwrap(), spec).unwrap()
}

fn client() -> Client {
    Client::builder().disable_timeout().finish()
}

async fn control(address: SocketAddr, command: FaultCommand) {
    let url = format!("http://{address}/control");
    let response = client().post(url).send_json(&command).await.unwrap();
    assert!(response.status().is_success());
}

async fn log(address: SocketAddr) -> Vec<String> {
    let url = format!("http://{address}/log");
    let mut response = client().get(url).send().await.unwrap();
    response.json::<LogAnswer>().await.unwrap().requests
}

async fn completion_text(address: SocketAddr, body: &Value) -> Option<String> {
    let url = format!("http://{address}/v1/completions");
    let request = client()
        .post(url)
        .insert_header(("x-request-id", REQUEST_ID));
    let mut response = request.send_json(body).await.ok()?;
    text(response.body().await.ok()?.to_vec())
}

async fn resume(address: SocketAddr, after: u32) -> Option<String> {
    let url = format!("http://{address}/v1/streams/{REQUEST_ID}?after={after}");
    let mut response = client().get(url).send().await.ok()?;
    response.status().is_success().then_some(())?;
    text(response.body().await.ok()?.to_vec())
}

fn text(bytes: Vec<u8>) -> Option<String> {
    String::from_utf8(bytes).ok()
}

fn event_ids(stream: &str) -> Vec<u32> {
    let lines = stream.lines().filter_map(|line| line.strip_prefix("id: "));
    lines.map(|id| id.parse().unwrap()).collect()
}

#[parameterized(
    default_length = { json!({"prompt": "a"}), 16 },
    stated_length = { json!({"prompt": "a", "max_tokens": 3}), 3 },
    length_in_prompt = { json!({"prompt": "a answer=5 b", "max_tokens": 3}), 5 },
)]
fn an_answer_repeats_its_request_identifier_and_has_the_requested_length(body: Value, tokens: u64) {
    System::new().block_on(async {
        let address = start_engine();
        let answer = completion_text(address, &body).await.unwrap();
        let answer: Value = serde_json::from_str(&answer).unwrap();
        let expected: Vec<String> = (1..=tokens)
            .map(|index| format!("{REQUEST_ID}:{index}"))
            .collect();
        assert_eq!(answer["choices"][0]["text"], expected.join(" "));
        assert_eq!(answer["usage"]["completion_tokens"], tokens);
    });
}

#[test]
fn a_stream_is_resumed_with_the_same_events() {
    System::new().block_on(async {
        let address = start_engine();
        let body = json!({"prompt": "a answer=4", "stream": true});
        let stream = completion_text(address, &body).await.unwrap();
        assert_eq!(event_ids(&stream), [1, 2, 3, 4, 5, 6]);
        assert!(stream.ends_with("id: 6\ndata: [DONE]\n\n"));
        let rest = resume(address, 2).await.unwrap();
        assert!(stream.ends_with(&rest));
        assert_eq!(event_ids(&rest), [3, 4, 5, 6]);
        assert_eq!(log(address).await, [REQUEST_ID]);
    });
}

#[test]
fn a_silent_connection_does_not_end_its_stream() {
    System::new().block_on(async {
        let address = start_engine();
        let slow = FaultCommand {
            slowdown: Some(1_000.0),
            ..FaultCommand::default()
        };
        control(address, slow).await;
        let body = json!({"prompt": "a answer=40", "stream": true});
        let silent = actix_rt::spawn(async move { completion_text(address, &body).await });
        while log(address).await.is_empty() {}
        let command = FaultCommand {
            silent: Some(true),
            slowdown: Some(1.0),
            ..FaultCommand::default()
        };
        control(address, command).await;
        let stream = resume(address, 0).await.unwrap();
        assert_eq!(event_ids(&stream), (1..=42).collect::<Vec<u32>>());
        assert!(!silent.is_finished());
        silent.abort();
    });
}

#[test]
fn a_cancelled_stream_ends_without_done() {
    System::new().block_on(async {
        let address = start_engine();
        let body = json!({"prompt": "a answer=100000", "stream": true});
        let stream = actix_rt::spawn(async move { completion_text(address, &body).await });
        while log(address).await.is_empty() {}
        let url = format!("http://{address}/v1/streams/{REQUEST_ID}");
        let response = client().delete(url).send().await.unwrap();
        assert_eq!(response.status().as_u16(), 204);
        let stream = stream.await.unwrap();
        assert!(stream.is_none_or(|stream| !stream.contains("[DONE]")));
    });
}

#[parameterized(
    read_then_close = { FaultCommand { read_then_close: Some(1), ..FaultCommand::default() }, 1 },
    close_before_read = { FaultCommand { close_before_read: Some(1), ..FaultCommand::default() }, 0 },
)]
fn one_request_is_reset_without_an_answer(command: FaultCommand, logged: usize) {
    System::new().block_on(async {
        let address = start_engine();
        control(address, command).await;
        let body = json!({"prompt": "a"});
        assert_eq!(completion_text(address, &body).await, None);
        assert_eq!(log(address).await.len(), logged);
        assert!(completion_text(address, &body).await.is_some());
    });
}
