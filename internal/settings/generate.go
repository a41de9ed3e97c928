package settings

//go:generate go run ./generate ../../docs/settings.md
