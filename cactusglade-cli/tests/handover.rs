//! Accepted chats survive the reclaim of the entry host that they came through.

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

/// Starts long streams through one daemon and waits until they run.
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
    wait_until("all streams run", || async {
        fleet.daemons[daemon].status().await["open"].as_u64() == u64::try_from(STREAMS).ok()
    })
    .await;
    tokio::time::sleep(Duration::from_millis(500)).await;
    streams
}

/// Goes on with what was begun through other daemons, and checks that it is whole.
async fn resume(streams: Vec<StreamTask>, others: &[Caller]) {
    for (number, stream) in streams.into_iter().enumerate() {
        let (content, stream) = stream.await.expect("it ends");
        let stream = stream.expect("it had begun");
        assert!(
            stream.moved || stream.disconnected,
            "it was not interrupted: {:?}",
            stream.failure
        );
        let before = stream.tokens.len();
        assert!(before > 0, "nothing had come");
        let other = &others[number % others.len()];
        let stream = other.resume(stream).await.expect("it goes on");
        assert!(stream.tokens.len() > before);
        assert!(stream.is_complete(&content, TOKENS), "{:?}", stream.failure);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn streams_go_on_through_other_daemons_when_their_host_is_reclaimed() {
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
async fn streams_go_on_when_the_daemon_dies_in_the_middle_of_the_reclaim() {
    let mut fleet = Fleet::start(&plan());
    fleet.publish(None).await;
    let streams = start_streams(&fleet, 0).await;
    let name = fleet.daemons[0].name.clone();
    fleet.send_reclaim_notice(&name, 30).await;
    fleet.daemons[0].process.wait_line("event=host_reclaimed");
    // The copies are on their way to the peers.
    tokio::time::sleep(Duration::from_millis(300)).await;
    fleet.daemons[0].process.signal("KILL");
    let others = [
        fleet.daemons[1].caller("north"),
        fleet.daemons[2].caller("north"),
    ];
    resume(streams, &others).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn only_the_organisation_itself_resumes_a_chat() {
    let fleet = Fleet::start(&plan());
    fleet.publish(None).await;
    let mut streams = start_streams(&fleet, 0).await;
    let name = fleet.daemons[0].name.clone();
    fleet.send_reclaim_notice(&name, 3).await;
    let (_, stream) = streams
        .pop()
        .expect("there are some")
        .await
        .expect("it ends");
    let stream = stream.expect("it had begun");
    let other_organisation = fleet.daemons[1].caller("south");
    let refused = other_organisation
        .resume(stream.clone())
        .await
        .expect("it is answered");
    assert_eq!(refused.status, 404);
    let unauthenticated = Caller {
        key: "wrong".to_owned(),
        ..other_organisation
    };
    assert_eq!(
        unauthenticated
            .resume(stream)
            .await
            .expect("it is answered")
            .status,
        401
    );
}
