use super::sets::Deployment;
use googletest::prelude::*;
use poplarswitch_verifier::VerifiedSet;

#[gtest]
fn both_sets_are_complete_and_valid() {
    for deployment in Deployment::ALL {
        let set = deployment.set();
        expect_that!(set.workspaces.len(), eq(10));
        expect_that!(VerifiedSet::new(&set).is_ok(), eq(true));
    }
}
