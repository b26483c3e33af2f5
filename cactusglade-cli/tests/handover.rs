//! Accepted chats can be resumed through another daemon when their entry host is reclaimed.

mod support;

use std::time::Duration;

use cactusglade_cli::caller;
use cactusglade_cli::caller::Caller;
use cactusglade_cli::caller::Stream;
use cactusglade_cli::demo::objects;
use tokio::task::JoinHandle;

use support::Fleet;
use support::Plan;
use support::wait_until;

const TOKENS: u64 = 1_200;
const STREAMS: usize = 6;

fn plan() -> Plan<'static> {
    Plan {
        daemons: &["a", "a", "b"],
        engines: &["a", "b"],
        services: &[],
        engine_arguments: &["--token-us", "4000"],
        ..Plan::default()
    }
}

type StreamTask = JoinHandle<(String, caller::Result<Stream>)>;

/// Starts long streams through one daemon and waits until they are open.
async fn start_streams(fleet: &Fleet, daemon: usize) -> Vec<StreamTask> {
    let streams = (0..STREAMS).map(|number| {
        let caller = fleet.daemons[daemon].caller("north");
        tokio::spawn(async move {
            let content = format!("long {number}");
            let stream = caller.chat(objects::CHAT, &content, TOKENS).await;
            (content, stream)
        })
    });
    let streams = streams.collect();
    wait_until("all streams are open", || async {
        fleet.daemons[daemon].status().await["open"].as_u64() == u64::try_from(STREAMS).ok()
    })
    .await;
    tokio::time::sleep(Duration::from_millis(500)).await;
    streams
}

/// Resumes the interrupted streams through other daemons and checks that they are complete.
async fn resume(streams: Vec<StreamTask>, others: &[Caller]) {
    for (number, stream) in streams.into_iter().enumerate() {
        let (content, stream) = stream.await.expect("the task does not panic");
        let stream = stream.expect("the stream had begun");
        assert!(
            stream.moved || stream.disconnected,
            "the stream was not interrupted: {:?}",
            stream.failure
        );
        let before = stream.tokens.len();
        assert!(before > 0, "no token was received before the interruption");
        let other = &others[number % others.len()];
        let stream = other
            .resume(stream)
            .await
            .expect("the other daemon resumes the stream");
        assert!(stream.tokens.len() > before);
        assert!(stream.is_complete(&content, TOKENS), "{:?}", stream.failure);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn streams_resume_through_other_daemons_when_their_host_is_reclaimed() {
    let mut fleet = Fleet::start(&plan());
    fleet.publish(None).await;
    let streams = start_streams(&fleet, 0).await;
    let name = fleet.daemons[0].name.clone();
    fleet.send_reclaim_notice(&name, 4).await;
    let others = [
        fleet.daemons[1].caller("north"),
        fleet.daemons[2].caller("north"),
    ];
    resume(streams, &others).await;
    let code = tokio::task::block_in_place(|| fleet.daemons[0].process.wait());
    assert_eq!(code, Some(0), "{:#?}", fleet.daemons[0].process.log());
}

#[tokio::test(flavor = "multi_thread")]
async fn streams_resume_when_the_daemon_is_killed_during_the_reclaim() {
    let mut fleet = Fleet::start(&plan());
    fleet.publish(None).await;
    let streams = start_streams(&fleet, 0).await;
    let name = fleet.daemons[0].name.clone();
    fleet.send_reclaim_notice(&name, 30).await;
    fleet.daemons[0].process.wait_line("event=host_reclaimed");
    // By then, the daemon has begun to copy its streams to peers.
    tokio::time::sleep(Duration::from_millis(300)).await;
    fleet.daemons[0].process.signal("KILL");
    let others = [
        fleet.daemons[1].caller("north"),
        fleet.daemons[2].caller("north"),
    ];
    resume(streams, &others).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_chat_can_be_resumed_only_by_its_own_organisation() {
    let fleet = Fleet::start(&plan());
    fleet.publish(None).await;
    let mut streams = start_streams(&fleet, 0).await;
    let name = fleet.daemons[0].name.clone();
    fleet.send_reclaim_notice(&name, 3).await;
    let (_, stream) = streams
        .pop()
        .expect("there are streams")
        .await
        .expect("the task does not panic");
    let stream = stream.expect("the stream had begun");
    let other_organisation = fleet.daemons[1].caller("south");
    let refused = other_organisation
        .resume(stream.clone())
        .await
        .expect("the daemon answers");
    assert_eq!(refused.status, 404);
    let unauthenticated = Caller {
        key: "wrong".to_owned(),
        ..other_organisation
    };
    assert_eq!(
        unauthenticated
            .resume(stream)
            .await
            .expect("the daemon answers")
            .status,
        401
    );
}
