//! The stand-ins and the scripts of the review's cases: `review-standin CASE RECORD`.

mod crashed_streams;
mod deployment;
mod http;
mod json;
mod large_bodies;
mod late_copies;
mod rejoined_streams;
mod store;
mod stream_worker;
mod tenant_name;
mod worker;

fn main() {
    let case = std::env::args().nth(1).unwrap_or_default();
    let broken = match case.as_str() {
        "crashed-streams" => crashed_streams::run(),
        "large-bodies" => large_bodies::run(),
        "late-copies" => late_copies::run(),
        "rejoined-streams" => rejoined_streams::run(),
        "stream-worker" => stream_worker::run(),
        "tenant-name" => tenant_name::run(),
        _ => deployment::cannot_run("no such case"),
    };
    std::process::exit(i32::from(broken));
}
