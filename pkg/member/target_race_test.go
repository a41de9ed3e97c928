//go:build race

package member_test

const target = 200
