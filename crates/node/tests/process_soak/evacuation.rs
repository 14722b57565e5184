//! Evacuations of data centres that overlap with the actions of a soak.
//!
//! They are drawn on their own, so that the actions of a seed stay the same.

use std::rc;
use std::time;

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use tokio::time as timer;

use crate::cluster::SoakCluster;
use crate::platform::DATA_CENTRES;

/// Differs the draws from those of the actions.
const SEED_MASK: u64 = 0x6576_6163;

/// Evacuation that is drawn; all times are in milliseconds.
#[derive(Clone, Copy, Debug)]
#[rustfmt::skip]
enum SoakEvacuation {
    One { data_centre: usize, ms: u64 },
    All { ms: u64 },
    /// Undone after a short time, and begun again at once.
    Again { data_centre: usize, first_ms: u64, ms: u64 },
}

fn draw(rng: &mut StdRng) -> SoakEvacuation {
    let data_centre = rng.random_range(0..DATA_CENTRES);
    let ms = rng.random_range(500..9_000);
    match rng.random_range(0..10) {
        0 => SoakEvacuation::All { ms: ms / 2 },
        1..3 => SoakEvacuation::Again {
            data_centre,
            first_ms: rng.random_range(10..2_000),
            ms,
        },
        _ => SoakEvacuation::One { data_centre, ms },
    }
}

/// Evacuates data centres for the duration, one after the other; none is evacuated at the
/// end.
pub(crate) async fn run_all(cluster: rc::Rc<SoakCluster>, seed: u64, duration: time::Duration) {
    let mut rng = StdRng::seed_from_u64(seed ^ SEED_MASK);
    loop {
        pause(rng.random_range(500..6_000)).await;
        if cluster.started_at.elapsed() >= duration {
            return;
        }
        let evacuation = draw(&mut rng);
        println!("{:7.2?} {evacuation:?}", cluster.started_at.elapsed());
        run(&cluster, evacuation).await;
    }
}

async fn run(cluster: &SoakCluster, evacuation: SoakEvacuation) {
    match evacuation {
        SoakEvacuation::One { data_centre, ms } => hold(cluster, &[data_centre], ms).await,
        SoakEvacuation::All { ms } => {
            let all: Vec<usize> = (0..DATA_CENTRES).collect();
            hold(cluster, &all, ms).await;
        }
        SoakEvacuation::Again {
            data_centre,
            first_ms,
            ms,
        } => {
            hold(cluster, &[data_centre], first_ms).await;
            hold(cluster, &[data_centre], ms).await;
        }
    }
}

/// Evacuates data centres for a time.
async fn hold(cluster: &SoakCluster, data_centres: &[usize], ms: u64) {
    for is_evacuated in [true, false] {
        for data_centre in data_centres {
            cluster.platform.evacuate(*data_centre, is_evacuated).await;
        }
        cluster.acted_at.set(timer::Instant::now());
        if is_evacuated {
            pause(ms).await;
        }
    }
}

async fn pause(ms: u64) {
    timer::sleep(time::Duration::from_millis(ms)).await;
}
