"""The control role: durable replicas of the catalogue or of a deployment."""
