package settings

// The defaults of settings that are missing or 0, in the units of their keys.
const (
	defaultHeartbeatPeriodMs = 1000
	defaultContactMs         = 3000
	defaultAckMs             = 4000
	defaultDrainMs           = 2000
	defaultConvergeMs        = 2000
	defaultRevertSlackMs     = 250
	defaultStretchMs         = 5000
	defaultPassMs            = 120
	defaultLossSlackMs       = 200
	defaultGraceS            = 8
	defaultRetryWindowS      = 10
	defaultMemoryMB          = 128
	defaultFDs               = 1024
	defaultRevokeMs          = 5000
	defaultQuotaWindowS      = 10
)

func setDefault[T int | int64 | float64](setting *T, value T) {
	if *setting == 0 {
		*setting = value
	}
}

func (s *Settings) setDefaults() {
	setDefault(&s.HeartbeatPeriodMs, defaultHeartbeatPeriodMs)
	setDefault(&s.Limits.MemoryMB, defaultMemoryMB)
	setDefault(&s.Limits.FileDescriptors, defaultFDs)
	bounds := &s.Bounds
	setDefault(&bounds.ContactMs, defaultContactMs)
	setDefault(&bounds.AckMs, defaultAckMs)
	setDefault(&bounds.DrainMs, defaultDrainMs)
	setDefault(&bounds.ConvergeMs, defaultConvergeMs)
	setDefault(&bounds.RevertSlackMs, defaultRevertSlackMs)
	setDefault(&bounds.StretchMs, defaultStretchMs)
	setDefault(&bounds.PassMs, defaultPassMs)
	setDefault(&bounds.LossSlackMs, defaultLossSlackMs)
	setDefault(&bounds.GraceS, defaultGraceS)
	setDefault(&bounds.RetryWindowS, defaultRetryWindowS)
	setDefault(&bounds.RevokeMs, defaultRevokeMs)
	setDefault(&bounds.QuotaWindowS, defaultQuotaWindowS)
}
