//go:build review

package main

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"syscall"
	"time"
)

func init() { cases["resend"] = resentChange }

// grownRetrySlack is RetrySlack after the deployment has grown; see the sheet of the grown
// deployment.
const grownRetrySlack = 172

// resentChange: the settings files of the core machines change, and one of these machines is
// stopped and started again. The operator then sends its last change once more, to that machine,
// as after a lost acknowledgement. No other change was made since, so it must not be refused.
func resentChange(s *setting) error {
	change := firstConfiguration()
	f, err := s.startFleet(services(shop, 3), change)
	if err != nil {
		return err
	}
	time.Sleep(settleTime)
	if s.trouble {
		f.bounds["RetrySlack"] = grownRetrySlack
	}
	for _, core := range f.cores {
		if err := f.writeSettings(core, false); err != nil {
			return err
		}
		f.signal(core, syscall.SIGHUP)
	}
	time.Sleep(settleTime)
	restarted := f.cores[1]
	f.signal(restarted, syscall.SIGTERM)
	if !restarted.waitEnded(graceTime) {
		f.signal(restarted, syscall.SIGKILL)
		restarted.waitEnded(graceTime)
	}
	if err := f.start(restarted); err != nil {
		return err
	}
	// ContactMs after the start, the core is stable again.
	time.Sleep(3*time.Second + settleTime)
	status, answer, err := f.putOnce(restarted, change)
	for deadline := time.Now().Add(operatorWait); (err != nil || status >= http.StatusInternalServerError) && time.Now().Before(deadline); {
		time.Sleep(200 * time.Millisecond)
		status, answer, err = f.putOnce(restarted, change)
	}
	if err != nil {
		return fmt.Errorf("the change was not answered: %w", err)
	}
	s.log.event("the change is sent again", "to", restarted.name, "status", status, "answer", answer)
	inForce, err := f.read(restarted)
	if err != nil {
		return err
	}
	same := bytes.Equal(inForce, change.body())
	s.log.event("the configuration is read", "from", restarted.name, "is the change", same)
	if !same {
		return fmt.Errorf("the configuration in force is not the change")
	}
	if status/100 == 4 {
		s.verdict.add("CONFIG: a change that was acknowledged was sent again, with no other change made since, and was refused: %d %s", status, answer)
	}
	return nil
}

// putOnce sends a configuration to one core machine.
func (f *fleet) putOnce(core *machine, c *configuration) (int, string, error) {
	request, err := http.NewRequest(http.MethodPut, "http://"+core.address(controlPort)+"/v1/config", bytes.NewReader(c.body()))
	if err != nil {
		return 0, "", err
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := (&http.Client{Timeout: time.Second}).Do(request)
	if err != nil {
		return 0, "", err
	}
	defer func() { _ = response.Body.Close() }()
	answer, err := io.ReadAll(response.Body)
	return response.StatusCode, string(answer), err
}

// read reads the configuration from a core machine.
func (f *fleet) read(core *machine) ([]byte, error) {
	response, err := (&http.Client{Timeout: time.Second}).Get("http://" + core.address(controlPort) + "/v1/config")
	if err != nil {
		return nil, err
	}
	defer func() { _ = response.Body.Close() }()
	return io.ReadAll(response.Body)
}
