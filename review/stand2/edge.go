package main

import (
	"fmt"
	"time"
)

func edgeCase(bool) (int, error) {
	de, err := deploy(3, "")
	if de != nil {
		defer de.end()
	}
	if err != nil {
		return couldNot, err
	}
	wks := startWorkers(de.store, 8)
	_ = wks
	time.Sleep(2 * time.Second)
	now := time.Now().UnixMilli()
	bodies := []string{
		`{"spec":"work=500","steps":[{"count":1}]}`,
		`{"spec":"work=500","steps":[{"count":3,"cpu":100}]}`,
		`{"spec":"work=500","steps":[{"count":3,"gpu":1}]}`,
		`{"spec":"work=500","steps":[{"count":3,"gpu":1,"affinity":"nowhere","estimate_ms":500}]}`,
		`{"spec":"work=500","steps":[{"count":16,"gpu":1,"anti_affinity":1,"estimate_ms":500}]}`,
		`{"spec":"work=500","steps":[{"count":8,"gpu":8,"gang":true,"estimate_ms":500}]}`,
		`{"spec":"work=500","steps":[{"count":8,"gpu":1,"gang":true,"anti_affinity":1,"same_rack":true,"estimate_ms":500}]}`,
		`{"spec":"work=500","steps":[{"count":2,"gpu":1,"estimate_ms":1099511627776}]}`,
		`{"spec":"work=500","steps":[{"count":2,"gpu":1,"fills":true,"cpu":64000,"estimate_ms":500}]}`,
		`{"spec":"work=500","steps":[{"count":2,"cpu":100},{"count":2,"cpu":100,"after":[0]},{"count":2,"cpu":100,"after":[0,1]}]}`,
		fmt.Sprintf(`{"spec":"work=500","steps":[{"count":2,"cpu":100}],"first_ms":%d,"interval_ms":0,"repeat_count":5}`, now+1000),
		fmt.Sprintf(`{"spec":"work=500","steps":[{"count":2,"cpu":100}],"first_ms":%d,"interval_ms":1000,"repeat_count":5}`, now-100000),
		`{"spec":"work=500","steps":[{"count":2,"cpu":100}],"first_ms":0,"interval_ms":0,"repeat_count":3}`,
		`{"spec":"work=10","steps":[{"count":4000,"cpu":100,"estimate_ms":10}]}`,
		`{"spec":"work=500","steps":[{"count":2,"cpu":64000,"mem_mb":262144,"gpu":8}]}`,
		`{"spec":"work=500","steps":[{"count":1,"cpu":100,"requires":"a"}]}`,
		`{"spec":"work=500","steps":[{"count":1,"cpu":100,"requires":"r1"}]}`,
		`{"steps":[{"count":1,"cpu":100,"speculative":true}]}`,
		`{"spec":"work=500","steps":[{"count":1,"cpu":100,"gang":true}]}`,
		`{"spec":"work=500","steps":[{"count":1,"cpu":100,"checkpoints":true,"estimate_ms":500}]}`,
		`{"spec":"work=500","steps":[{"count":30,"gpu":2,"gang":true,"estimate_ms":500},{"count":12,"gpu":1,"after":[0],"estimate_ms":100}]}`,
	}
	for i, body := range bodies {
		status, _ := de.hosts[i%3].call(call{method: "POST", path: queuePrefix + jobID(i+1), key: tenantKey, body: []byte(body)})
		logf("job %d: %d", i, status)
	}
	time.Sleep(45 * time.Second)
	for i, body := range bodies {
		status, state := de.hosts[0].state(jobID(i + 1))
		logf("job %d: %d %s %.120s", i, status, state, body)
	}
	return held, nil
}
