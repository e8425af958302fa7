//! Runs one test double as a separate process.

use std::{net, process, time};

use pimentohook_core::{id, size};
use pimentohook_runtime::process as runtime_process;
use pimentohook_standin::{engine, objects, store};

fn main() -> process::ExitCode {
    let listen = clap::Arg::new("listen")
        .long("listen")
        .required(true)
        .value_parser(clap::value_parser!(net::SocketAddr));
    let command = clap::Command::new("pimentohook-standin")
        .about("Test doubles of the platform, engines and services")
        .subcommand_required(true)
        .subcommand(
            clap::Command::new("engine")
                .about("An inference engine or plain service that runs requests in steps")
                .arg(listen.clone())
                .arg(
                    clap::Arg::new("weights")
                        .long("weights")
                        .help("The digest of the weights that it serves at startup"),
                ),
        )
        .subcommand(
            clap::Command::new("platform")
                .about("The object API and the list of VMs")
                .arg(listen.clone()),
        )
        .subcommand(
            clap::Command::new("store")
                .about("The weight store, with versions v1 and v2")
                .arg(listen),
        );
    let matches = command.get_matches();
    match run(&matches) {
        Ok(()) => process::ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("standin: {error}");
            process::ExitCode::FAILURE
        }
    }
}

const SLOT_COUNT: usize = 8;
const STEP: time::Duration = time::Duration::from_millis(10);
const STORE_RATE: size::ByteRate = size::ByteRate::new(64 << 20);
const WEIGHTS_BYTES: size::ByteCount = size::ByteCount::new(2 << 20);
const CHUNK_BYTES: u32 = 128 << 10;

#[tokio::main]
async fn run(matches: &clap::ArgMatches) -> Result<(), Box<dyn std::error::Error>> {
    let Some((subcommand, matches)) = matches.subcommand() else {
        return Err("a subcommand is required".into());
    };
    let Some(listen) = matches.get_one::<net::SocketAddr>("listen").copied() else {
        return Err("--listen is required".into());
    };
    let running = match subcommand {
        "engine" => {
            let weights = matches.get_one::<String>("weights");
            let weights: Option<id::Digest> = weights.map(|text| text.parse()).transpose()?;
            let engine = engine::Engine::new(SLOT_COUNT, STEP, weights);
            pimentohook_standin::start(listen, engine::router(&engine)).await?
        }
        "platform" => {
            let objects = objects::ObjectApi::new();
            pimentohook_standin::start(listen, objects::router(&objects)).await?
        }
        _ => {
            let store = store::Store::new(STORE_RATE);
            for (version, seed) in [("v1", 1), ("v2", 2)] {
                store.publish(&version.parse()?, WEIGHTS_BYTES, CHUNK_BYTES, seed);
            }
            pimentohook_standin::start(listen, store::router(&store)).await?
        }
    };
    println!("listening on {}", running.address);
    runtime_process::wait_for_signal(|| {}).await?;
    running.stop.set();
    Ok(())
}
