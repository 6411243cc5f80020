package operatorfile

import (
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
	"testing"

	"cherrygap/internal/settings"
)

// checkText runs a subtest, which fails if got and want differ.
func checkText(t *testing.T, name, got, want string) {
	t.Helper()
	t.Run(name, func(t *testing.T) {
		t.Helper()
		if got != want {
			t.Errorf("%s: got  %q\nwant %q", name, got, want)
		}
	})
}

// describeFile returns the text of every value of a file, except its settings. describeSettings covers these.
func describeFile(f File) string {
	e, l := f.Lab.Emulator, f.Lab.Load
	s := fmt.Sprintf("log %s; watch %v; duties %v %v %v; quota %q %v; authz %q %d %q; grpc %q %d; seed %d; ", f.Log.Level, f.Shadow.Enabled, f.HealthChecks.Enabled,
		f.HealthChecks.IntervalMs, f.HealthChecks.MaxBytesPerS, f.Quota.Store, f.Quota.MaxCallsPerS, f.Authz.Service, f.Authz.MaxInFlight, f.Authz.FailOpen, f.GRPC.Listen,
		f.GRPC.MaxCalls, f.Lab.Seed)
	s += fmt.Sprintf("emulator %q %d %d %d %d %v %v %v %v %v %v %v %v %v %q; ", e.Listen, e.Servers, e.Concurrency, e.Queue, e.Connections,
		e.ServiceMs, e.ServiceTimeSigma, e.HandshakeMs, e.WarmupS, e.WarmupFactor, e.IdleS, e.DrainMs, e.LoadReports, e.HealthChecks, e.Schedule)
	s += fmt.Sprintf("load %q %v %v %d %v %v %v %v %v %d %q %d", l.Target, l.Rate, l.DurationS, l.Customers, l.Skew, l.BurstPeriodS, l.BurstLengthS,
		l.BurstFactor, l.RetryProbability, l.Connections, l.Plan, l.Spread)
	for _, c := range l.Classes {
		s += fmt.Sprintf(" {%q %s %v %d %v}", c.Name, c.RetrySafety, c.Share, c.BudgetMs, c.Units)
	}
	return s
}

// describeSettings returns the text of the settings that s overrides, for a platform with two classes and one plan. It applies
// s once with every switch off and once with every switch on. A switch that s does not override differs between the two.
func describeSettings(s *SettingsOverride) string {
	switchesOff := settings.Values{
		settings.ClassCount: "2", settings.ClassKey(0, settings.ClassName): "seats", settings.ClassKey(1, settings.ClassName): "buy",
		settings.PlanCount: "1", settings.PlanKey(0, settings.PlanName): "team",
	}
	switchesOn := maps.Clone(switchesOff)
	for _, key := range []string{
		settings.Hedging, settings.CancelAttempts, settings.HealthChecks, settings.Peers, settings.RetryAfter,
		settings.EstimatedUnits, settings.ClassKey(0, settings.ClassStreaming), settings.ClassKey(1, settings.ClassStreaming),
	} {
		switchesOn[key] = settings.On
	}
	fromOff, err := s.Apply(settings.Parse(switchesOff))
	if err != nil {
		return "error " + err.Error()
	}
	fromOn, err := s.Apply(settings.Parse(switchesOn))
	if err != nil {
		return "error " + err.Error()
	}
	got, texts, textsFromOn := "", settingTexts(fromOff), settingTexts(fromOn)
	for _, key := range slices.Sorted(maps.Keys(texts)) {
		isName := strings.HasSuffix(key, ".count") || strings.HasSuffix(key, ".name")
		isOverridden := texts[key] != "" && texts[key] == textsFromOn[key]
		if isOverridden && !isName {
			got += fmt.Sprintf("%s=%s;", key, texts[key])
		}
	}
	return got
}

// settingTexts returns the text of every setting by its key, for two classes and two plans.
func settingTexts(s *settings.Settings) map[string]string {
	texts := map[string]string{
		settings.Node: s.Node.String(), settings.Nodes: s.Nodes.String(), settings.Tick: s.Tick.String(),
		settings.EndpointList: string(s.EndpointList), settings.PollWithin: s.PollWithin.String(),
		settings.LoadReportFields:  strings.Join(s.LoadReportFields, ","),
		settings.LoadReportChannel: s.LoadReportChannel, settings.MaxAttempts: s.MaxAttempts.String(),
		settings.Hedging: strconv.FormatBool(s.Hedging), settings.CancelAttempts: strconv.FormatBool(s.CancelAttempts),
		settings.HealthChecks: strconv.FormatBool(s.HealthChecks), settings.Peers: strconv.FormatBool(s.Peers),
		settings.PeerRate: s.PeerRate.String(), settings.RetryAfter: strconv.FormatBool(s.RetryAfter),
		settings.MaxRetryAfter: s.MaxRetryAfter.String(), settings.MaxRequests: s.MaxRequests.String(),
		settings.IdleTimeout: s.IdleTimeout.String(), settings.ConnectTimeout: s.ConnectTimeout.String(),
		settings.SlowStartSpan: s.SlowStartSpan.String(), settings.SlowStartShare: s.SlowStartShare.String(),
		settings.OverloadMultiple: s.OverloadMultiple.String(), settings.OverloadSpan: s.OverloadSpan.String(),
		settings.DrainGrace: s.DrainGrace.String(), settings.ResponseSlack: s.ResponseSlack.String(),
		settings.EstimatedUnits: strconv.FormatBool(s.EstimatedUnits), settings.MaxUnits: s.MaxUnits.String(),
		settings.ClassCount: s.Classes.Count.String(), settings.PlanCount: s.Plans.Count.String(),
	}
	for i := range 2 {
		c, p := s.Classes.At(i), s.Plans.At(i)
		maps.Copy(texts, map[string]string{
			settings.ClassKey(i, settings.ClassName):              c.Name,
			settings.ClassKey(i, settings.ClassRetrySafety):       string(c.RetrySafety),
			settings.ClassKey(i, settings.ClassLatencyObjective):  c.LatencyObjective.String(),
			settings.ClassKey(i, settings.ClassDeadline):          c.Deadline.String(),
			settings.ClassKey(i, settings.ClassIdempotencyGroup):  string(c.IdempotencyGroup),
			settings.ClassKey(i, settings.ClassIdempotencyWindow): c.IdempotencyWindow.String(),
			settings.ClassKey(i, settings.ClassPriorityWeight):    c.PriorityWeight.String(),
			settings.ClassKey(i, settings.ClassLateShare):         c.LateShare.String(),
			settings.ClassKey(i, settings.ClassStreaming):         strconv.FormatBool(c.Streaming),
			settings.ClassKey(i, settings.ClassObjectiveStretch):  c.ObjectiveStretch.String(),
			settings.PlanKey(i, settings.PlanName):                p.Name,
			settings.PlanKey(i, settings.PlanRate):                p.Rate.String(),
			settings.PlanKey(i, settings.PlanBurst):               p.Burst.String(),
			settings.PlanKey(i, settings.PlanMaxInFlight):         p.MaxInFlight.String(),
			settings.PlanKey(i, settings.PlanPriorityFactor):      p.PriorityFactor.String(),
			settings.PlanKey(i, settings.PlanOverQuotaShare):      p.OverQuotaShare.String(),
			settings.PlanKey(i, settings.PlanOverQuotaCost):       p.OverQuotaCost.String(),
			settings.PlanKey(i, settings.PlanCeilingRate):         p.CeilingRate.String(),
			settings.PlanKey(i, settings.PlanCeilingBurst):        p.CeilingBurst.String(),
			settings.PlanKey(i, settings.PlanCeilingSlack):        p.CeilingSlack.String(),
		})
	}
	return texts
}

// describeErrors returns the errors as the program prints them, one a line.
func describeErrors(errs []KeyError) string {
	parts := make([]string, len(errs))
	for i, err := range errs {
		parts[i] = err.Error()
	}
	return strings.Join(parts, "\n")
}
