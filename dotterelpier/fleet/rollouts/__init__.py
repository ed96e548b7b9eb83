"""Roll-outs of a release: traffic, evidence, verdict, and the decision in the store."""
