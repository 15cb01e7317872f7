package policy

// mixDecay is the factor by which each request reduces the weight of the earlier ones in the shares: about
// the last 500 requests count.
const mixDecay = 0.998

// quotaTolerance is the multiple of its quota above which a tenant counts as over quota.
const quotaTolerance = 1.1

// trafficMix holds the shares of the tenants and classes in this agent's recent requests.
type trafficMix struct {
	tenantShares []float64
	classShares  []float64
	classOnTime  []float64 // for each class, the share of all requests that is of it and was answered in time
	worstClass   int       // class with the smallest fraction answered in time
	meanValue    float64   // mean value of a request
}

func newTrafficMix(settings *Settings) trafficMix {
	mix := trafficMix{tenantShares: make([]float64, len(settings.Tenants))}
	for range settings.Classes {
		mix.classShares = append(mix.classShares, 1)
		mix.classOnTime = append(mix.classOnTime, 1)
	}
	return mix
}

// countClass counts a request of a class.
func (m *trafficMix) countClass(classes []Class, class int) {
	m.meanValue = 0
	for i := range classes {
		m.classShares[i] *= mixDecay
		m.classOnTime[i] *= mixDecay
		if i == class {
			m.classShares[i] += 1 - mixDecay
		}
		m.meanValue += m.classShares[i] * classes[i].Value
	}
}

// countTenant counts a request of a tenant.
func (m *trafficMix) countTenant(tenant int) {
	if tenant < 0 || tenant >= len(m.tenantShares) {
		return
	}
	for i := range m.tenantShares {
		m.tenantShares[i] *= mixDecay
	}
	m.tenantShares[tenant] += 1 - mixDecay
}

// countOnTime counts an answer in time for its class.
func (m *trafficMix) countOnTime(class int) { m.classOnTime[class] += 1 - mixDecay }

// updateWorstClass finds the class with the smallest fraction answered in time.
func (m *trafficMix) updateWorstClass() {
	for i := range m.classOnTime {
		if m.classOnTime[i]*m.classShares[m.worstClass] < m.classOnTime[m.worstClass]*m.classShares[i] {
			m.worstClass = i
		}
	}
}

// overQuota reports whether a tenant sends more than its quota of all requests, with some tolerance.
func (m *trafficMix) overQuota(tenants []Tenant, tenant int) bool {
	if tenant < 0 || tenant >= len(m.tenantShares) {
		return false
	}
	return m.tenantShares[tenant] > quotaTolerance*tenants[tenant].QuotaShare
}
