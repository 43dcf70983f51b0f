"""This process's own life: when it takes clients, what operators call, and the figures they read."""
