//! Parsing and validation of deployments.

use {
    bronzespool_core::settings::{Deployment, Document, read_deployment},
    std::{collections::BTreeMap, path::PathBuf},
};

fn example(name: &str) -> Deployment {
    let root = PathBuf::from(concat!(env!("CARGO_MANIFEST_DIR"), "/../../examples"));
    read_deployment(&root.join(name).join("deployment.ini")).unwrap()
}

fn read(text: &str) -> Result<Deployment, String> {
    Deployment::try_from(&Document::parse("d.ini", text)).map_err(|faults| faults.to_string())
}

#[test]
fn read_deployment_examples_have_their_sizes() {
    for (name, cores, memory) in [("registry", 64, 131_072), ("cooperative", 32, 65_536)] {
        let deployment = example(name);
        let capacity = deployment.capacity;
        assert_eq!(deployment.places().len(), 10);
        assert_eq!(deployment.centers.len(), 3);
        assert_eq!((capacity.slots, capacity.connections, capacity.accels), (8, 64, 8));
        assert_eq!((capacity.cores, capacity.memory), (cores, memory));
    }
}

#[test]
fn places_of_example_fill_racks_of_three() {
    let mut racks: BTreeMap<String, u32> = BTreeMap::new();
    for place in example("registry").places() {
        *racks.entry(place.rack.to_string()).or_default() += 1;
    }
    assert_eq!(racks.into_values().collect::<Vec<_>>(), [3, 3, 3, 1]);
}

#[test]
fn try_from_empty_text_lists_missing_sections() {
    let faults = read("").unwrap_err();
    for section in ["[deployment]", "[worker]", "[center]"] {
        assert!(faults.contains(section), "{faults}");
    }
}

#[test]
fn try_from_too_many_workers_is_fault() {
    let text = "[deployment]\nname = a\n[worker]\ncores = 1\nmemory = 1GiB\n\
                [center b]\nregion = c\nracks = 4294967295, 4294967295\n";
    assert!(read(text).unwrap_err().contains("over 100000 workers"));
}

#[test]
fn try_from_too_many_accelerators_is_fault() {
    let text = "[deployment]\nname = a\n[worker]\ncores = 1\nmemory = 1GiB\naccelerators = 65\n\
                [center b]\nregion = c\nracks = 1\n";
    assert!(read(text).unwrap_err().starts_with("d.ini:6: [worker] accelerators"));
}
