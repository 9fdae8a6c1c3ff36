"""Run every model check and print the state counts."""


def main() -> None:
    """Check the specification; the claims specification lands here next."""
    print("no specification yet")


if __name__ == "__main__":
    main()
