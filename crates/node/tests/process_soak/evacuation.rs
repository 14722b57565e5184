//! Evacuations of data centres that overlap with the actions of a soak.
//!
//! They are drawn on their own, so that the actions of a seed stay the same.

use std::ops::Range;
use std::rc;
use std::time;

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use tokio::time as timer;

use crate::cluster::SoakCluster;
use crate::platform::DATA_CENTRES;

/// Differs the draws from those of the actions.
const SEED_MASK: u64 = 0x6576_6163;

/// Evacuation that is drawn.
#[derive(Clone, Debug)]
struct SoakEvacuation {
    data_centres: Range<usize>,
    /// Time in milliseconds after which it is undone, and for which it then begins again at
    /// once, if at all.
    holds_ms: Vec<u64>,
}

fn draw(rng: &mut StdRng) -> SoakEvacuation {
    let data_centre = rng.random_range(0..DATA_CENTRES);
    let ms = rng.random_range(500..9_000);
    let (data_centres, holds_ms) = match rng.random_range(0..10) {
        0 => (0..DATA_CENTRES, vec![ms / 2]),
        1..3 => (
            data_centre..data_centre + 1,
            vec![rng.random_range(10..2_000), ms],
        ),
        _ => (data_centre..data_centre + 1, vec![ms]),
    };
    SoakEvacuation {
        data_centres,
        holds_ms,
    }
}

/// Evacuates data centres for the duration, one evacuation after the other; none is left at
/// the end.
pub(crate) async fn run_all(cluster: rc::Rc<SoakCluster>, seed: u64, duration: time::Duration) {
    let mut rng = StdRng::seed_from_u64(seed ^ SEED_MASK);
    loop {
        pause(rng.random_range(500..6_000)).await;
        if cluster.started_at.elapsed() >= duration {
            return;
        }
        let evacuation = draw(&mut rng);
        println!("{:7.2?} {evacuation:?}", cluster.started_at.elapsed());
        for ms in evacuation.holds_ms {
            set_all(&cluster, &evacuation.data_centres, true).await;
            pause(ms).await;
            set_all(&cluster, &evacuation.data_centres, false).await;
        }
    }
}

async fn set_all(cluster: &SoakCluster, data_centres: &Range<usize>, is_evacuated: bool) {
    for data_centre in data_centres.clone() {
        cluster.platform.evacuate(data_centre, is_evacuated).await;
    }
    cluster.acted_at.set(timer::Instant::now());
}

async fn pause(ms: u64) {
    timer::sleep(time::Duration::from_millis(ms)).await;
}
