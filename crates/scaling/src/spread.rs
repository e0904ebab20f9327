//! Distribution of a number of engines over data centres.

/// Data centre as seen by the distribution.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Share {
    /// Weight; engines are distributed in proportion to it.
    pub(crate) weight: f64,
    /// Fewest engines.
    pub(crate) min: u32,
    /// Most engines.
    pub(crate) max: u32,
}

/// Distributes `total` engines in proportion to the weights, within the limits of each data centre.
/// The sum differs from `total` only if the limits require it.
pub(crate) fn spread(total: u32, shares: &[Share]) -> Vec<u32> {
    let mut numbers: Vec<u32> = shares.iter().map(|share| share.min).collect();
    let given: u32 = numbers.iter().sum();
    for _ in given..total {
        let open = shares.iter().zip(&numbers).enumerate();
        let open = open.filter(|(_, (share, number))| **number < share.max && share.weight > 0.0);
        let fullness = |share: &Share, number: u32| (f64::from(number) + 0.5) / share.weight;
        let emptiest =
            open.min_by(|(_, (a, m)), (_, (b, n))| fullness(a, **m).total_cmp(&fullness(b, **n)));
        let Some((index, _)) = emptiest else {
            break;
        };
        numbers[index] += 1;
    }
    numbers
}
