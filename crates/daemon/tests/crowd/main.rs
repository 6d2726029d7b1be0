//! Crowds of clients that don't behave, against real processes on loopback, on each address that a
//! process listens on. The process must live, stay within its memory and its descriptors, and
//! answer an ordinary request while the crowd's connections are open.
//!
//! Crowds and bounds are fixed: the memory and the descriptors of a process on the platform are
//! those of its settings file, which the tests lower; those of a native process are the 128 MB that
//! a host may use, and its setting `limits.connections` on each address.

mod crowds;
mod processes;
mod single;
#[path = "../support/mod.rs"]
mod support;

use crowds::{Crowd, Kind};
use processes::{Address, Process};

/// Runs a crowd of each kind against an address of a new process. Each is a test of its own.
macro_rules! crowds {
    ($($test:ident: $address:ident, $kind:ident;)*) => {
        $(
            #[test]
            fn $test() {
                withstand(Address::$address, Kind::$kind);
            }
        )*
    };
}

fn withstand(address: Address, kind: Kind) {
    let _alone = processes::one_at_a_time();
    let process = Process::start(address);
    process.ask(address);
    let crowd = Crowd::new(kind, address);
    let mut most_descriptors = 0;
    let open = crowd.press(process.addr(address), || {
        most_descriptors = most_descriptors.max(process.descriptors());
    });
    process.ask(address);
    let bounds = process.bounds();
    let peak = process.peak_memory();
    println!("peak {} KiB, {most_descriptors} descriptors", peak >> 10);
    assert!(process.is_alive(), "the process has ended");
    assert!(peak <= bounds.memory, "{peak} bytes are more than {}", bounds.memory);
    let descriptors = most_descriptors.max(process.descriptors());
    assert!(
        descriptors <= bounds.descriptors,
        "{descriptors} descriptors are more than {}",
        bounds.descriptors
    );
    drop(open);
}

crowds! {
    platform_callers_with_heads_over_the_limit: Callers, HeadOverLimit;
    platform_callers_with_heads_without_end: Callers, HeadWithoutEnd;
    platform_callers_with_empty_lines_without_end: Callers, EmptyLines;
    platform_callers_with_large_chunks: Callers, LargeChunks;
    platform_callers_with_one_byte_chunks: Callers, OneByteChunks;
    platform_callers_with_whole_bodies: Callers, WholeBodies;
    platform_callers_with_bodies_piece_by_piece: Callers, PieceByPiece;
    platform_callers_with_jobs_of_many_empty_steps: Callers, EmptySteps;
    platform_callers_that_send_nothing: Callers, Silent;

    platform_control_with_heads_over_the_limit: Control, HeadOverLimit;
    platform_control_with_heads_without_end: Control, HeadWithoutEnd;
    platform_control_with_empty_lines_without_end: Control, EmptyLines;
    platform_control_with_large_chunks: Control, LargeChunks;
    platform_control_with_one_byte_chunks: Control, OneByteChunks;
    platform_control_with_whole_bodies: Control, WholeBodies;
    platform_control_with_bodies_piece_by_piece: Control, PieceByPiece;
    platform_control_that_sends_nothing: Control, Silent;

    platform_readiness_with_heads_over_the_limit: Readiness, HeadOverLimit;
    platform_readiness_with_heads_without_end: Readiness, HeadWithoutEnd;
    platform_readiness_with_empty_lines_without_end: Readiness, EmptyLines;
    platform_readiness_with_large_chunks: Readiness, LargeChunks;
    platform_readiness_with_one_byte_chunks: Readiness, OneByteChunks;
    platform_readiness_with_whole_bodies: Readiness, WholeBodies;
    platform_readiness_with_bodies_piece_by_piece: Readiness, PieceByPiece;
    platform_readiness_that_sends_nothing: Readiness, Silent;

    platform_metrics_with_heads_over_the_limit: Metrics, HeadOverLimit;
    platform_metrics_with_heads_without_end: Metrics, HeadWithoutEnd;
    platform_metrics_with_empty_lines_without_end: Metrics, EmptyLines;
    platform_metrics_with_large_chunks: Metrics, LargeChunks;
    platform_metrics_with_one_byte_chunks: Metrics, OneByteChunks;
    platform_metrics_with_whole_bodies: Metrics, WholeBodies;
    platform_metrics_with_bodies_piece_by_piece: Metrics, PieceByPiece;
    platform_metrics_that_sends_nothing: Metrics, Silent;

    platform_peers_with_frames_cut_short: Peers, CutFrames;
    platform_peers_that_send_nothing: Peers, Silent;

    native_callers_with_heads_over_the_limit: NativeCallers, HeadOverLimit;
    native_callers_with_heads_without_end: NativeCallers, HeadWithoutEnd;
    native_callers_with_empty_lines_without_end: NativeCallers, EmptyLines;
    native_callers_with_large_chunks: NativeCallers, LargeChunks;
    native_callers_with_one_byte_chunks: NativeCallers, OneByteChunks;
    native_callers_with_whole_bodies: NativeCallers, WholeBodies;
    native_callers_with_bodies_piece_by_piece: NativeCallers, PieceByPiece;
    native_callers_that_send_nothing: NativeCallers, Silent;

    native_workers_with_heads_over_the_limit: NativeWorkers, HeadOverLimit;
    native_workers_with_heads_without_end: NativeWorkers, HeadWithoutEnd;
    native_workers_with_empty_lines_without_end: NativeWorkers, EmptyLines;
    native_workers_with_large_chunks: NativeWorkers, LargeChunks;
    native_workers_with_one_byte_chunks: NativeWorkers, OneByteChunks;
    native_workers_with_whole_bodies: NativeWorkers, WholeBodies;
    native_workers_with_bodies_piece_by_piece: NativeWorkers, PieceByPiece;
    native_workers_that_send_nothing: NativeWorkers, Silent;

    native_operators_with_heads_over_the_limit: NativeOperators, HeadOverLimit;
    native_operators_with_heads_without_end: NativeOperators, HeadWithoutEnd;
    native_operators_with_empty_lines_without_end: NativeOperators, EmptyLines;
    native_operators_with_large_chunks: NativeOperators, LargeChunks;
    native_operators_with_one_byte_chunks: NativeOperators, OneByteChunks;
    native_operators_with_whole_bodies: NativeOperators, WholeBodies;
    native_operators_with_bodies_piece_by_piece: NativeOperators, PieceByPiece;
    native_operators_that_send_nothing: NativeOperators, Silent;

    native_peers_with_frames_cut_short: NativePeers, CutFrames;
    native_peers_that_send_nothing: NativePeers, Silent;
}
