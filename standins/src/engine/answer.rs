//! How an engine answers one request.

use std::io::ErrorKind;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use serde_json::{Value, json};
use tokio::sync::mpsc;
use tokio::time::Instant;

use super::Shared;
use super::batch::{NotTaken, Run, RunEnd, Taken};
use super::settings::EngineFaults;
use crate::host::{Call, Reply};
use crate::lock;
use crate::tokens::{DEFAULT_TOKENS, conversation_hash, count_words, token};

/// Pieces of a stream that wait for a slow reader.
const BUFFERED_PIECES: usize = 4;

/// A request in the form that the engine works with.
#[derive(Debug, Clone)]
struct Job {
    id: String,
    chat: bool,
    model: Value,
    conversation: u32,
    /// Index of the first token to send.
    first: u64,
    /// Index after the last token to send.
    end: u64,
    finish_reason: &'static str,
    prompt_words: u64,
    stream: bool,
    with_usage: bool,
}

/// Answers a chat or text completion.
pub(super) async fn answer(shared: Arc<Shared>, call: Call, chat: bool) -> Reply {
    lock(&shared.received).push(call.received.clone());
    let faults = shared.take_faults();
    if faults.reset_before {
        return Reply::Reset;
    }
    if faults.unavailable {
        return overloaded();
    }
    let body: Value = match call.json() {
        Ok(body) => body,
        Err(reply) => return reply,
    };
    let job = match read_job(&call, &body, chat, shared.settings.resumes) {
        Ok(job) => job,
        Err(reply) => return reply,
    };
    let job = if faults.crossed { crossed(&shared, job) } else { job };
    let taken = lock(&shared.batch).take(new_run(&call, &body, &job), &prompt_text(&body, chat));
    match taken {
        Ok(taken) => send(shared, job, taken, faults).await,
        Err(NotTaken::Overloaded) => overloaded(),
        Err(NotTaken::Crashes) => {
            shared.crash();
            Reply::Silence
        }
    }
}

fn overloaded() -> Reply {
    Reply::Json(503, json!({ "error": { "code": "overloaded", "message": "over the limit" } }))
}

/// Starts the run and answers with its stream, or with the whole text at the end.
async fn send(shared: Arc<Shared>, job: Job, taken: Taken, faults: EngineFaults) -> Reply {
    let (tx, mut rx) = mpsc::channel(BUFFERED_PIECES);
    let late = Duration::from_millis(faults.late_ms);
    let whole = (!job.stream).then(|| job.clone());
    tokio::spawn(generate(shared, job, taken, faults, tx));
    if let Some(job) = whole {
        // Reads the stream itself; a fault that ends it early resets the connection.
        while let Some(piece) = rx.recv().await {
            if piece.is_err() {
                return Reply::Reset;
            }
        }
        tokio::time::sleep(late).await;
        return Reply::Json(200, whole_answer(&job));
    }
    tokio::time::sleep(late).await;
    Reply::Stream("text/event-stream", rx)
}

/// Ends a run when it goes out of scope.
struct EndRun {
    shared: Arc<Shared>,
    run: usize,
    generation: u64,
    end: RunEnd,
}

impl Drop for EndRun {
    fn drop(&mut self) {
        lock(&self.shared.batch).end(self.run, self.generation, self.end);
    }
}

type Sender = mpsc::Sender<std::io::Result<Bytes>>;

/// Waits for a slot and sends the pieces of the answer; stops when the reader is gone.
async fn generate(shared: Arc<Shared>, job: Job, taken: Taken, faults: EngineFaults, tx: Sender) {
    let Taken { run, generation, new_words, cold, slot } = taken;
    let mut ending =
        EndRun { shared: Arc::clone(&shared), run, generation, end: RunEnd::Cancelled };
    tokio::select! {
        started = slot => if started.is_err() { return },
        () = tx.closed() => return,
    }
    let settings = &shared.settings;
    let cold_factor = if cold { settings.cold_factor } else { 1 };
    let prefill = settings.first_token + settings.prompt_word * new_words as u32;
    let mut due = Instant::now() + prefill * cold_factor * faults.slow;
    for index in job.first..job.end {
        let sent = index - job.first;
        if let Some(end) = apply_faults(&faults, sent, &tx).await {
            ending.end = end;
            return;
        }
        tokio::select! {
            () = tokio::time::sleep_until(due) => {}
            () = tx.closed() => return,
        }
        if tx.send(Ok(token_chunk(&job, index))).await.is_err() {
            return;
        }
        lock(&shared.batch).count_token(run);
        due += settings.token_gap * faults.slow;
    }
    for piece in closing_chunks(&job) {
        if tx.send(Ok(piece)).await.is_err() {
            return;
        }
    }
    ending.end = RunEnd::Complete;
}

/// Applies the faults due before a token; returns how the run ended if one ended it.
async fn apply_faults(faults: &EngineFaults, sent: u64, tx: &Sender) -> Option<RunEnd> {
    if faults.silent_after.is_some_and(|after| sent >= after) {
        tx.closed().await;
        return Some(RunEnd::Cancelled);
    }
    if faults.cut_after.is_some_and(|after| sent >= after) {
        let _ = tx.send(Err(ErrorKind::ConnectionReset.into())).await;
        return Some(RunEnd::Failed);
    }
    if faults.stop_after.is_some_and(|after| sent >= after) {
        return Some(RunEnd::Failed);
    }
    if faults.nonsense && sent == 1 {
        let _ =
            tx.send(Ok(Bytes::from_static(b"data: {\"id\": [\xff\xfe\n\n\x00<html>\n\n"))).await;
    }
    None
}

fn read_job(call: &Call, body: &Value, chat: bool, resumes: bool) -> Result<Job, Reply> {
    let field = if chat { "messages" } else { "prompt" };
    let Some(given) = body.get(field) else {
        return Err(Reply::error(400, &format!("{field} is missing")));
    };
    let (conversation, said) = split_resumed(given, body, resumes);
    let limit = body.get("max_completion_tokens").or_else(|| body.get("max_tokens"));
    let limit = limit.and_then(Value::as_u64);
    let end = limit.map_or(DEFAULT_TOKENS.max(said), |limit| said + limit);
    let request = call.received.header("x-request-id").unwrap_or("none");
    let flag = |value: Option<&Value>| value.and_then(Value::as_bool).unwrap_or(false);
    Ok(Job {
        id: format!("{}-{request}", if chat { "chatcmpl" } else { "cmpl" }),
        chat,
        model: body.get("model").cloned().unwrap_or(Value::Null),
        conversation: conversation_hash(&conversation),
        first: said,
        end,
        finish_reason: if limit.is_some() { "length" } else { "stop" },
        prompt_words: count_words(given),
        stream: flag(body.get("stream")),
        with_usage: flag(body.pointer("/stream_options/include_usage")),
    })
}

/// Splits the text to go on after from the conversation; returns how many tokens it holds.
fn split_resumed(given: &Value, body: &Value, resumes: bool) -> (Value, u64) {
    let asked = body.get("continue_final_message").and_then(Value::as_bool).unwrap_or(false);
    let last = given.as_array().and_then(|messages| messages.last());
    let said = last.filter(|message| message["role"] == "assistant");
    match (given.as_array(), said) {
        (Some(messages), Some(said)) if asked && resumes => {
            let before = messages[..messages.len() - 1].to_vec();
            (Value::Array(before), count_words(&said["content"]))
        }
        _ => (given.clone(), 0),
    }
}

fn prompt_text(body: &Value, chat: bool) -> String {
    body[if chat { "messages" } else { "prompt" }].to_string()
}

fn new_run(call: &Call, body: &Value, job: &Job) -> Run {
    Run {
        request_id: call.received.header("x-request-id").unwrap_or("none").to_owned(),
        idempotency_key: call.received.header("idempotency-key").map(str::to_owned),
        priority: body.get("priority").and_then(Value::as_i64).unwrap_or(0),
        conversation: job.conversation,
        resumed_at: job.first,
        tokens: 0,
        load_at_arrival: 0,
        cold: false,
        started: 0,
        end: RunEnd::Open,
    }
}

/// Returns the job with the identifier and text of the latest other request, or of none.
fn crossed(shared: &Shared, mut job: Job) -> Job {
    let runs = lock(&shared.batch).runs();
    let other = runs.iter().rev().find(|run| !job.id.ends_with(&run.request_id));
    let prefix = if job.chat { "chatcmpl" } else { "cmpl" };
    let (request, conversation) = other
        .map_or(("other", !job.conversation), |run| (run.request_id.as_str(), run.conversation));
    job.id = format!("{prefix}-{request}");
    job.conversation = conversation;
    job
}

fn event(chunk: &Value) -> Bytes {
    format!("data: {chunk}\n\n").into()
}

fn chunk(job: &Job, choices: Value) -> Value {
    let object = if job.chat { "chat.completion.chunk" } else { "text_completion" };
    json!({ "id": job.id, "object": object, "created": 0, "model": job.model, "choices": choices })
}

fn token_chunk(job: &Job, index: u64) -> Bytes {
    let text = token(job.conversation, index);
    let mut choice = json!({ "index": 0, "finish_reason": null });
    if !job.chat {
        choice["text"] = text.into();
    } else if index == job.first {
        choice["delta"] = json!({ "role": "assistant", "content": text });
    } else {
        choice["delta"] = json!({ "content": text });
    }
    event(&chunk(job, json!([choice])))
}

fn closing_chunks(job: &Job) -> Vec<Bytes> {
    let mut choice = json!({ "index": 0, "finish_reason": job.finish_reason });
    if job.chat {
        choice["delta"] = json!({});
    } else {
        choice["text"] = "".into();
    }
    let mut pieces = vec![event(&chunk(job, json!([choice])))];
    if job.with_usage {
        let mut last = chunk(job, json!([]));
        last["usage"] = usage(job);
        pieces.push(event(&last));
    }
    pieces.push(Bytes::from_static(b"data: [DONE]\n\n"));
    pieces
}

fn usage(job: &Job) -> Value {
    let completion = job.end - job.first;
    json!({
        "prompt_tokens": job.prompt_words,
        "completion_tokens": completion,
        "total_tokens": job.prompt_words + completion,
    })
}

fn whole_answer(job: &Job) -> Value {
    let text: String = (job.first..job.end).map(|index| token(job.conversation, index)).collect();
    let mut choice = json!({ "index": 0, "finish_reason": job.finish_reason });
    if job.chat {
        choice["message"] = json!({ "role": "assistant", "content": text });
    } else {
        choice["text"] = text.into();
    }
    let mut answer = chunk(job, json!([choice]));
    answer["object"] = if job.chat { "chat.completion" } else { "text_completion" }.into();
    answer["usage"] = usage(job);
    answer
}
