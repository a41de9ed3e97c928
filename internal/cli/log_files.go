package cli

import (
	"bufio"
	"fmt"
	"io"
	"os"
)

// maxLineLength is the largest length in bytes of a log line. A longer line ends the
// reading with an error.
const maxLineLength = 1 << 20

// readLogs calls line for each line of the files, or of in if no files are given. The
// source is the path of the file, or "-" for in.
func readLogs(paths []string, in io.Reader, line func(source, text string)) error {
	if len(paths) == 0 {
		return readLog("-", in, line)
	}
	for _, path := range paths {
		file, err := os.Open(path)
		if err != nil {
			return fmt.Errorf("cannot open log: %w; name a file that can be read", err)
		}
		err = readLog(path, file, line)
		if closeErr := file.Close(); err == nil {
			err = closeErr
		}
		if err != nil {
			return err
		}
	}
	return nil
}

func readLog(source string, r io.Reader, line func(source, text string)) error {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLineLength)
	for scanner.Scan() {
		line(source, scanner.Text())
	}
	if err := scanner.Err(); err != nil {
		return fmt.Errorf("cannot read log %s: %w", source, err)
	}
	return nil
}
